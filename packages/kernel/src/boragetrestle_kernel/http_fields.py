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


def find_field(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the first value of a field, or ``b''``."""
    for key, content in fields:
        if key == name:
            return content
    return b''


def end_to_end(fields: Iterable[tuple[bytes, bytes]]) -> Fields:
    """Drop hop-by-hop fields and those that ``Connection`` names.

    >>> end_to_end([(b'connection', b'X-A'), (b'x-a', b'1'), (b'x-b', b'2')])
    [(b'x-b', b'2')]
    """
    pairs = list(fields)
    named = {
        token.strip().lower()
        for key, content in pairs
        if key == b'connection'
        for token in content.split(b',')
    }
    return [
        (key, content)
        for key, content in pairs
        if key not in HOP_BY_HOP and key not in named
    ]
