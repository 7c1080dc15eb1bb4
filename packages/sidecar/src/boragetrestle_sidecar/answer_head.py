"""Build the status line and headers that are forwarded to the caller."""

from http import HTTPStatus
from typing import TYPE_CHECKING

from boragetrestle_sidecar.connection_headers import (
    HOP_BY_HOP_HEADERS,
    parse_connection_header,
)

if TYPE_CHECKING:
    from boragetrestle_sidecar.target_answer import TargetAnswer
    from boragetrestle_sidecar.wire_names import WireNames

_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_PLAIN_CONNECTION = frozenset((b'close', b'keep-alive'))
_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in HTTPStatus
}


def answer_head(answer: 'TargetAnswer', names: 'WireNames') -> bytes:
    """Build the status line and headers, without the empty line.

    Hop-by-hop headers of the target's connection are dropped, and a
    content-length header is added.
    """
    listed: set[bytes] = set()
    connection = answer.header(b'connection')
    if connection is not None and connection.lower() not in _PLAIN_CONNECTION:
        listed = parse_connection_header(connection)
    lines = [
        b'HTTP/1.1 %d %s' % (answer.status, reason_phrase(answer.status)),
    ]
    lines += [
        b'%s: %s' % header
        for header in answer.headers
        if header[0] not in HOP_BY_HOP_HEADERS and header[0] not in listed
    ]
    if answer.status not in _BODILESS:
        lines.append(b'content-length: %d' % len(answer.body))
    lines.append(b'')
    return b'\r\n'.join(lines)


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of an HTTP status."""
    return _REASON_PHRASES.get(status, b'Unknown')
