"""Limits on the size and slowness of requests."""

from typing import NamedTuple

_KIBIBYTE = 1024
_MEBIBYTE = 1024 * _KIBIBYTE


class HttpLimits(NamedTuple):
    """Limits of one server connection.

    The head (request line and header fields) may have ``head_bytes`` and must
    be complete ``head_seconds`` after its first byte. A body may have
    ``body_bytes``. Waiting for it may take ``body_grace_seconds`` and, for each
    ``min_body_bytes_per_second`` bytes that arrive, one second more. Each
    write of a response must complete within ``send_seconds``.

    Up to ``buffered_body_bytes`` of a body are read before a call is forwarded,
    so that a slow caller holds no slot (the right to run one call) of a target.

    An idle connection is closed after ``idle_seconds``. A request body that the
    handler left unread, and input after the last response, is read and dropped
    for up to ``linger_seconds``.
    """

    head_bytes: int = 32 * _KIBIBYTE
    body_bytes: int = 1024 * _MEBIBYTE
    buffered_body_bytes: int = 64 * _KIBIBYTE
    idle_seconds: float = 75
    head_seconds: float = 10
    body_grace_seconds: float = 10
    min_body_bytes_per_second: float = 1024
    send_seconds: float = 20
    linger_seconds: float = 1


DEFAULT_LIMITS = HttpLimits()
