"""Reject requests that another server could parse differently.

``h11`` accepts some malformed request heads (request line and header fields)
that RFC 9112 lets a server reject. A target that parses such a head differently
would see other requests than this node did (request smuggling).
"""

import re
from collections.abc import Callable

import h11

from boragetrestle_kernel.errors import MalformedRequestError
from boragetrestle_kernel.http_fields import find_field

_VERSIONS = frozenset((b'1.0', b'1.1'))
_HOST = re.compile(rb"[A-Za-z0-9._~:\[\]!$&'()*+;=%-]*")

HeadRule = Callable[[bytes, h11.Request], bool]
_RULES: dict[str, HeadRule] = {}


def check_head(raw: bytes, request: h11.Request) -> None:
    """Raise ``MalformedRequestError`` for an ambiguous head.

    ``raw`` holds the bytes from which ``request`` was parsed.
    """
    for fault, is_violated in _RULES.items():
        if is_violated(raw, request):
            raise MalformedRequestError(
                f'the request has {fault}',
                remedy='send one unambiguous HTTP/1.1 request',
            )


def _rejects(fault: str) -> Callable[[HeadRule], HeadRule]:
    """Register a rule that returns whether a request has the fault."""

    def register(rule: HeadRule) -> HeadRule:
        _RULES[fault] = rule
        return rule

    return register


@_rejects('a line that ends without a carriage return')
def _has_bare_line_feed(raw: bytes, _request: h11.Request) -> bool:
    return raw.count(b'\n') != raw.count(b'\r\n')


@_rejects('a folded line')
def _has_folded_line(raw: bytes, _request: h11.Request) -> bool:
    return b'\n ' in raw or b'\n\t' in raw


@_rejects('more than one length')
def _has_two_lengths(raw: bytes, request: h11.Request) -> bool:
    lengths = raw.lower().count(b'\ncontent-length:')
    if not lengths:
        return False
    return lengths > 1 or b',' in _raw_length(raw)


@_rejects('both a length and chunks')
def _has_length_and_chunks(raw: bytes, request: h11.Request) -> bool:
    if not find_field(request.headers, b'transfer-encoding'):
        return False
    return b'\ncontent-length:' in raw.lower()


@_rejects('chunks in an old version of HTTP')
def _has_chunks_in_old_version(_raw: bytes, request: h11.Request) -> bool:
    if request.http_version == b'1.1':
        return False
    return bool(find_field(request.headers, b'transfer-encoding'))


@_rejects('an unknown version of HTTP')
def _has_unknown_version(_raw: bytes, request: h11.Request) -> bool:
    return request.http_version not in _VERSIONS


@_rejects('a host that is no name or address')
def _has_bad_host(_raw: bytes, request: h11.Request) -> bool:
    return not _HOST.fullmatch(find_field(request.headers, b'host'))


def _raw_length(raw: bytes) -> bytes:
    line = raw.lower().partition(b'\ncontent-length:')[2]
    return line.partition(b'\r\n')[0]
