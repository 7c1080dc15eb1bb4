"""Bounds on what a caller may send and how slowly."""

from typing import NamedTuple

_KIBIBYTE = 1024
_MEBIBYTE = 1024 * _KIBIBYTE


class HttpLimits(NamedTuple):
    """Bounds of one server connection; sizes in bytes, times in seconds.

    A head must be complete ``head_seconds`` after its first byte. A body must
    arrive at ``body_rate`` bytes a second, after ``body_grace_seconds`` of
    waiting. A part of an answer must be taken within ``send_seconds``.

    Up to ``kept_body_bytes`` of a body are read before a call is sent on, so
    that a slow caller holds no slot of a target.
    """

    head_bytes: int = 32 * _KIBIBYTE
    body_bytes: int = 1024 * _MEBIBYTE
    kept_body_bytes: int = 64 * _KIBIBYTE
    idle_seconds: float = 75
    head_seconds: float = 10
    body_grace_seconds: float = 10
    body_rate: float = 1024
    send_seconds: float = 20
    linger_seconds: float = 1


DEFAULT_LIMITS = HttpLimits()
