"""Read the requests of one caller's connection."""

from collections import deque
from typing import TYPE_CHECKING

import httptools

from boragetrestle_kernel.errors import (
    BodyTooLargeError,
    HeadTooLargeError,
    MalformedRequestError,
)
from boragetrestle_sidecar.caller_request import CallerRequest

if TYPE_CHECKING:
    from boragetrestle_sidecar.caller_limits import CallerLimits


class RequestReader:
    """Parse bytes into whole requests, one after the other.

    ``waits_for_body`` tells that a caller asked to be told to go on before
    it sends its body.
    """

    def __init__(self, limits: 'CallerLimits') -> None:
        self.limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.ready: deque[CallerRequest] = deque()
        self.waits_for_body = False
        self._begin()

    @property
    def is_amid_request(self) -> bool:
        """Whether a part of a request was read."""
        return self.has_begun

    def feed(self, received: bytes) -> None:
        """Parse bytes; whole requests are added to ``ready``.

        Raises ``MalformedRequestError`` for bytes that are no request and
        ``HeadTooLargeError`` or ``BodyTooLargeError`` beyond the limits.
        """
        if not self.has_head:
            self._count_raw(len(received))
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise MalformedRequestError(
                'the caller asks for another protocol',
                remedy='send HTTP/1.1 requests only',
            ) from error
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, HeadTooLargeError):
                raise error.__context__ from error
            if isinstance(error.__context__, BodyTooLargeError):
                raise error.__context__ from error
            raise MalformedRequestError(
                f'the bytes are no HTTP/1.1 request: {error}',
                remedy='send one well-formed request after the other',
            ) from error

    def on_message_begin(self) -> None:
        """Start a request."""
        self._begin()
        self.has_begun = True

    def on_url(self, url: bytes) -> None:
        """Take a piece of the request target."""
        self.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Note whether the caller waits before it sends the body."""
        self.has_head = True
        for name, value in self.headers:
            if name == b'expect' and value.lower() == b'100-continue':
                self.waits_for_body = True

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self.waits_for_body = False
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.body_bytes:
            raise BodyTooLargeError(
                f'the body is over {self.limits.body_bytes} bytes',
                remedy='send a smaller body',
            )
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Add the whole request to those that are ready."""
        self.has_begun = False
        self.waits_for_body = False
        self.ready.append(
            CallerRequest(
                method=self.parser.get_method(),
                target=self.target,
                headers=self.headers,
                body=b''.join(self.chunks),
                keeps_open=self.parser.should_keep_alive(),
                has_length=_has_length(self.headers),
            )
        )

    def _begin(self) -> None:
        self.target = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.has_begun = False
        self.has_head = False
        self.raw_bytes = 0

    def _count_raw(self, count: int) -> None:
        """Bound a head that never ends, which the parser holds."""
        if self.raw_bytes > self.limits.header_bytes:
            raise HeadTooLargeError(
                f'the head is over {self.limits.header_bytes} bytes',
                remedy='send fewer or shorter headers',
            )
        self.raw_bytes += count

    def _count_head(self, count: int) -> None:
        self.head_bytes += count
        if self.head_bytes > self.limits.header_bytes:
            raise HeadTooLargeError(
                f'the head is over {self.limits.header_bytes} bytes',
                remedy='send fewer or shorter headers',
            )


def _has_length(headers: list[tuple[bytes, bytes]]) -> bool:
    return any(
        name in {b'content-length', b'transfer-encoding'}
        for name, _value in headers
    )
