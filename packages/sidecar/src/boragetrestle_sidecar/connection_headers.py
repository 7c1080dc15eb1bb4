"""Headers that concern one connection only and are not passed on."""

HOP_HEADERS = frozenset((
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


def listed_headers(connection: bytes) -> set[bytes]:
    """Return the header names that a Connection header lists.

    >>> sorted(listed_headers(b'close, X-Hop'))
    [b'close', b'x-hop']
    """
    return {name.strip().lower() for name in connection.split(b',')}
