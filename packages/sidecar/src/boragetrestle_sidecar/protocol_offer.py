"""Requests that offer to go on in another protocol, such as HTTP/2.

A server may ignore the offer (RFC 9110, section 7.8). The parser takes all that
follows the head of such a request for the other protocol, its body too.
"""

from collections.abc import Iterable

TUNNEL_METHOD = b'CONNECT'  # what follows its head is no HTTP


def head_without_offer(
    method: bytes,
    request_target: bytes,
    version: str,
    headers: 'Iterable[tuple[bytes, bytes]]',
) -> bytes:
    """Return the head of a request that offers no other protocol.

    ``headers`` have names in lower case.

    >>> head = head_without_offer(b'GET', b'/', '1.1', [(b'upgrade', b'h2c')])
    >>> head.splitlines()
    [b'GET / HTTP/1.1', b'']
    """
    lines = [b'%s %s HTTP/%s' % (method, request_target, version.encode())]
    lines += [
        b'%s: %s' % (name, value)
        for name, value in headers
        if name != b'upgrade'
    ]
    return b'\r\n'.join((*lines, b'', b''))
