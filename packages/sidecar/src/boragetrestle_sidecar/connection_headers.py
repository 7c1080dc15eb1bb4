"""Hop-by-hop headers, which a proxy does not forward."""

HOP_BY_HOP_HEADERS = frozenset((
    b'connection',
    b'content-length',
    b'expect',
    b'keep-alive',
    b'proxy-connection',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
))


def parse_connection_header(connection: bytes) -> set[bytes]:
    """Parse a Connection header into the header names that it lists.

    >>> sorted(parse_connection_header(b'close, X-Hop'))
    [b'close', b'x-hop']
    """
    return {name.strip().lower() for name in connection.split(b',')}
