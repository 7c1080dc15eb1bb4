"""Header fields of HTTP messages."""

from collections.abc import Iterable

Fields = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset((
    b'connection',
    b'keep-alive',
    b'proxy-authenticate',
    b'proxy-authorization',
    b'proxy-connection',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
))

# Prefix of the header fields that only nodes may set.
INTERNAL_PREFIX = b'boragetrestle-'

_FORBIDDEN_TRAILERS = HOP_BY_HOP | {
    b'authorization',
    b'content-encoding',
    b'content-length',
    b'content-type',
    b'host',
    b'idempotency-key',
    b'set-cookie',
}


def find_field(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the first value of a header field, or ``b''``."""
    for key, content in fields:
        if key == name:
            return content
    return b''


def drop_hop_by_hop(fields: Iterable[tuple[bytes, bytes]]) -> Fields:
    """Drop hop-by-hop fields and those that ``Connection`` names.

    >>> fields = [(b'connection', b'X-A'), (b'x-a', b'1'), (b'x-b', b'2')]
    >>> drop_hop_by_hop(fields)
    [(b'x-b', b'2')]
    """
    pairs = list(fields)
    dropped = HOP_BY_HOP
    for key, content in pairs:
        if key == b'connection':
            dropped |= {token.strip().lower() for token in content.split(b',')}
    return [pair for pair in pairs if pair[0] not in dropped]


def select_safe_trailers(fields: Iterable[tuple[bytes, bytes]]) -> Fields:
    """Drop trailers that would change framing, routing or identity.

    >>> select_safe_trailers([(b'content-length', b'9'), (b'digest', b'1')])
    [(b'digest', b'1')]
    """
    return [
        pair
        for pair in fields
        if pair[0] not in _FORBIDDEN_TRAILERS
        and not pair[0].startswith(INTERNAL_PREFIX)
    ]
