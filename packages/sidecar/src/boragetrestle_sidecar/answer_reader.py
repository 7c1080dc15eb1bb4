"""Parse the HTTP responses on one connection to a server."""

import re
from collections.abc import Callable
from http import HTTPStatus

import httptools

from boragetrestle_kernel.errors import HttpError
from boragetrestle_sidecar.target_answer import TargetAnswer

# Larger answers are refused, since a node buffers each answer completely.
MAX_ANSWER_BYTES = 16_000_000
# Heads, interim answers, trailers and the framing of chunks may take this much
# beside the body, since a server in trouble may send any of them without end.
MAX_HEAD_BYTES = 65_536
MAX_FRAMING_RATIO = 8  # a chunk of one byte takes six
# With answers to earlier requests, which are discarded.
MAX_EXCHANGE_BYTES = MAX_ANSWER_BYTES + MAX_ANSWER_BYTES // 2
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}')
# The parser reads RTSP and ICE as well, and two more versions of HTTP.
_PROTOCOL = b'HTTP/'
_VERSIONS = frozenset(('1.0', '1.1'))
_MAX_STATUS = 599
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


def is_status(status: int) -> bool:
    """Return whether a number is an HTTP status (RFC 9110, section 15).

    >>> is_status(599), is_status(0), is_status(600)
    (True, False, False)
    """
    return HTTPStatus.CONTINUE <= status <= _MAX_STATUS


class AnswerReader:
    """Parse bytes into complete answers, one after the other.

    An answer without a length ends when its connection is closed properly.
    ``on_answer`` is called with each complete answer. ``expects_no_body`` tells
    that the next answer is to a HEAD request.
    """

    def __init__(self, on_answer: Callable[[TargetAnswer], None]) -> None:
        self.on_answer = on_answer
        self.parser = httptools.HttpResponseParser(self)
        self.expects_no_body = False
        self.body: bytes | bytearray = b''
        self.first_bytes = b''
        self.begin_exchange()
        self._reset()

    @property
    def held_bytes(self) -> int:
        """How many bytes of an unfinished body are held."""
        return len(self.body)

    def begin_exchange(self) -> None:
        """Count the bytes that are received from now on."""
        self.exchange_bytes = 0
        self.exchange_body_bytes = 0

    def feed(self, received: bytes) -> None:
        """Parse bytes.

        Raises ``HttpError`` if they are no HTTP response or go on for too long.
        """
        self.exchange_bytes += len(received)
        self._parse(received)
        self._check_size()

    def _parse(self, received: bytes) -> None:
        self._check_protocol(received)
        try:
            self.parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if isinstance(error.__context__, HttpError):
                raise error.__context__ from error
            raise HttpError(
                f'the received bytes are no valid HTTP/1.1 response: {error}',
                remedy='check what the server sends on this connection',
            ) from error

    def _check_protocol(self, received: bytes) -> None:
        """Refuse bytes that begin like a response of another protocol."""
        if not self.is_amid_answer:
            self.first_bytes = b''
        missing = len(_PROTOCOL) - len(self.first_bytes)
        if missing:
            self.first_bytes += received.lstrip(b'\r\n')[:missing]
            if not _PROTOCOL.startswith(self.first_bytes):
                raise HttpError(
                    f'the response begins with {self.first_bytes!r}',
                    remedy='check what the server sends on this connection',
                )

    def end(self) -> bool:
        """Complete an answer that ends with its properly closed connection.

        Returns whether there was such an answer, which has no length.
        """
        if not self.has_head or self.is_framed:
            return False
        self._deliver(keeps_open=False)
        return True

    def discard(self) -> None:
        """Free what is held of an unfinished answer."""
        self._reset()

    def on_message_begin(self) -> None:
        """Reset the state for the next answer."""
        self._reset()
        self.is_amid_answer = True

    def on_status(self, phrase: bytes) -> None:
        """Append a part of the reason phrase."""
        self.reason_phrase += phrase

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers state nothing about an answer."""
        if self.is_past_head:
            return
        name = name.lower()
        if name in {b'content-length', b'transfer-encoding'}:
            self.is_framed = True
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the status; finish an answer to a HEAD request."""
        self.status = self.parser.get_status_code()
        self._check_head()
        self.has_head = True
        self.is_past_head = True
        if self.status in _BODILESS:
            self.is_framed = True
        if self.expects_no_body and self.status >= HTTPStatus.OK:
            self._deliver(keeps_open=False)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.exchange_body_bytes += len(body)
        if not self.body:
            self.body = body
            return
        if isinstance(self.body, bytes):
            self.body = bytearray(self.body)
        self.body += body

    def on_message_complete(self) -> None:
        """Deliver a complete answer; interim (1xx) answers are skipped."""
        self.is_amid_answer = False
        if self.status < HTTPStatus.OK:
            self.has_head = False  # the final answer has a head of its own
        elif self.has_head:
            self._deliver(keeps_open=self.parser.should_keep_alive())

    def _reset(self) -> None:
        self.status = 0
        self.reason_phrase = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b''
        self.has_head = False
        self.is_past_head = False
        self.is_framed = False
        self.is_amid_answer = False

    def _check_head(self) -> None:
        """Refuse a head without an HTTP/1 status, or with that of another.

        A server may send a part of an earlier answer where the next is due.
        """
        version = self.parser.get_http_version()
        if version not in _VERSIONS or not is_status(self.status):
            raise HttpError(
                f'HTTP/{version} {self.status} begins no response of HTTP/1.1',
                remedy='check what the server sends on this connection',
            )
        values = [self.reason_phrase, *(value for _, value in self.headers)]
        if _STATUS_LINE.search(b'\n'.join(values)):
            raise HttpError(
                'the head of a response runs into that of another',
                remedy='check the server for responses that it cuts short',
            )

    def _deliver(self, *, keeps_open: bool) -> None:
        self.has_head = False
        body = bytes(self.body)
        self.body = b''
        self.on_answer(
            TargetAnswer(
                self.status,
                self.headers,
                body,
                keeps_open,
            )
        )

    def _check_size(self) -> None:
        body_bytes = self.exchange_body_bytes
        if len(self.body) > MAX_ANSWER_BYTES:
            raise HttpError(
                f'the response body is over {MAX_ANSWER_BYTES} bytes',
                remedy='change the service to send smaller responses',
            )
        other_bytes = self.exchange_bytes - body_bytes
        is_endless = self.exchange_bytes > MAX_EXCHANGE_BYTES
        if is_endless or (
            other_bytes > MAX_HEAD_BYTES + MAX_FRAMING_RATIO * body_bytes
        ):
            raise HttpError(
                f'the server sent {other_bytes} bytes of heads and framing '
                f'and {body_bytes} of bodies without ending its response',
                remedy='check the server for faults',
            )
