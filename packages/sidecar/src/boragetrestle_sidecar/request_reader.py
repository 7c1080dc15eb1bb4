"""Parse the HTTP requests of one caller's connection."""

from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from boragetrestle_kernel.errors import (
    BodyTooLargeError,
    HeadTooLargeError,
    MalformedRequestError,
)
from boragetrestle_sidecar.body_budget import LARGE_BODY_BYTES
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.header_number import read_count
from boragetrestle_sidecar.protocol_offer import (
    TUNNEL_METHOD,
    head_without_offer,
)
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.caller_limits import CallerLimits

# Chunk sizes and trailers may take this much of the body, beside a head.
_MAX_FRAMING_RATIO = 8  # a chunk of one byte takes six
_PARSED_BITS = 64  # the parser refuses greater lengths
_MAX_PARSED_LENGTH = 2**_PARSED_BITS - 1


class RequestReader:
    """Parse bytes into complete requests, one after the other.

    ``awaits_continue`` tells that the caller waits for ``100 Continue`` before
    it sends the body. ``waited_seconds`` is how long the body that is not
    complete yet has waited for memory, and ``began_at`` is when its request
    began. Behind a request for a tunnel nothing is read.
    """

    def __init__(self, limits: 'CallerLimits') -> None:
        self.use_limits(limits)
        self.parser = httptools.HttpRequestParser(self)
        self.ready: deque[CallerRequest] = deque()
        self.awaits_continue = False
        self.is_tunnel = False
        self.body: bytes | bytearray = b''
        self._reset()

    @property
    def is_amid_request(self) -> bool:
        """Whether a request has begun and is not complete yet."""
        return self.has_begun

    @property
    def unfinished_bytes(self) -> int:
        """How much of a body that is not complete yet is held."""
        return self.body_bytes if self.has_begun else 0

    @property
    def expected_bytes(self) -> int:
        """How long the body that is not complete yet becomes, at most.

        A body in chunks is taken for a small one until it is large.
        """
        if self.stated_bytes or self.body_bytes <= LARGE_BODY_BYTES:
            return self.stated_bytes
        return self.limits.body_bytes

    @property
    def unfinished_request(self) -> CallerRequest:
        """The request whose body is being read, without its body."""
        return CallerRequest(
            self.parser.get_method(), self.request_target, self.headers
        )

    def use_limits(self, limits: 'CallerLimits') -> None:
        """Bound what is received from now on."""
        self.limits = limits
        self.header_bytes = limits.header_bytes

    def feed(self, received: bytes) -> None:
        """Parse bytes; add complete requests to ``ready``.

        Raises ``MalformedRequestError`` for bytes that are no HTTP request, and
        ``HeadTooLargeError`` or ``BodyTooLargeError`` beyond the limits.
        """
        if self.is_tunnel:
            return
        if self.has_head:
            self.received_body_bytes += len(received)
        else:
            self._count_received_head(len(received))
        while received:
            received = self._parse(received)
        if self.has_begun:
            self._check_framing_size()

    def _parse(self, received: bytes) -> bytes:
        """Parse bytes up to the offer of another protocol; return the rest."""
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade as offer:
            return self._decline_offer(received[offer.args[0] :])
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, HeadTooLargeError):
                raise error.__context__ from error
            if isinstance(error.__context__, BodyTooLargeError):
                raise error.__context__ from error
            raise MalformedRequestError(
                f'the received bytes are no valid HTTP/1.1 request: {error}',
                remedy='send well-formed requests, one after the other',
            ) from error
        return b''

    def _decline_offer(self, rest: bytes) -> bytes:
        """Return the bytes to parse in place of a head with an offer."""
        if self.is_tunnel:
            return b''
        head = head_without_offer(
            self.parser.get_method(),
            self.request_target,
            self.parser.get_http_version(),
            self.headers,
        )
        self.parser = httptools.HttpRequestParser(self)
        return head + rest

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self._reset()
        self.has_begun = True
        self.began_at = steady_now()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.request_target += url
        self.parsed_head_bytes += len(url)
        if self.parsed_head_bytes > self.header_bytes:
            raise _head_too_large(self.header_bytes)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers are only counted."""
        if not self.has_head:
            self.headers.append((name.lower(), value))
        self.parsed_head_bytes += len(name) + len(value) + 4
        if self.parsed_head_bytes > self.header_bytes:
            raise _head_too_large(self.header_bytes)

    def on_headers_complete(self) -> None:
        """Note whether the caller waits for ``100 Continue``.

        A body that states a length beyond the limit is refused unread.
        """
        self.has_head = True
        self.stated_bytes = _stated_length(self.headers)
        self._check_body_size(self.stated_bytes)
        for name, value in self.headers:
            if name == b'expect' and value.lower() == b'100-continue':
                self.awaits_continue = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.awaits_continue = False
        self.body_bytes += len(body)
        self._check_body_size(self.body_bytes)
        if not self.body:
            self.body = body
            return
        if isinstance(self.body, bytes):
            self.body = bytearray(self.body)
        self.body += body

    def on_message_complete(self) -> None:
        """Add the complete request to ``ready``.

        One that offers another protocol is parsed again without the offer.
        """
        method = self.parser.get_method()
        self.is_tunnel = method == TUNNEL_METHOD
        if self.parser.should_upgrade() and not self.is_tunnel:
            return
        self.has_begun = False
        self.awaits_continue = False
        if self.body_bytes <= LARGE_BODY_BYTES:
            self.body = bytes(self.body)
        now = steady_now()
        self.ready.append(
            CallerRequest(
                method=method,
                request_target=self.request_target,
                headers=self.headers,
                body=cast('bytes', self.body),
                keeps_open=(
                    self.parser.should_keep_alive() and not self.is_tunnel
                ),
                has_length=_has_length(self.headers),
                waited_seconds=self.waited_seconds,
                read_seconds=now - self.began_at,
                read_at=now,
            )
        )
        self.body = b''

    def _reset(self) -> None:
        self.request_target = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b''
        self.parsed_head_bytes = 0
        self.body_bytes = 0
        self.stated_bytes = 0
        self.waited_seconds = 0.0
        self.began_at = 0.0
        self.has_begun = False
        self.has_head = False
        self.received_head_bytes = 0
        self.received_body_bytes = 0

    def _check_body_size(self, size: int) -> None:
        if size > self.limits.body_bytes:
            raise BodyTooLargeError(
                f'the request body is over {self.limits.body_bytes} bytes',
                remedy='send a smaller body',
            )

    def _count_received_head(self, count: int) -> None:
        """Bound the bytes of an unfinished head that the parser buffers."""
        if self.received_head_bytes > self.header_bytes:
            raise _head_too_large(self.header_bytes)
        self.received_head_bytes += count

    def _check_framing_size(self) -> None:
        """Bound what a body in chunks takes beside its content.

        The parser buffers a trailer until it is complete.
        """
        framing_bytes = self.received_body_bytes - self.body_bytes
        longest = self.header_bytes + _MAX_FRAMING_RATIO * self.body_bytes
        if framing_bytes > longest:
            raise HeadTooLargeError(
                f'the framing of the request body is over {longest} bytes',
                remedy='send larger chunks, and fewer or shorter trailers',
            )


def _head_too_large(limit: int) -> HeadTooLargeError:
    return HeadTooLargeError(
        f'the request head is over {limit} bytes',
        remedy='send fewer or shorter headers',
    )


def _has_length(headers: list[tuple[bytes, bytes]]) -> bool:
    return any(
        name in {b'content-length', b'transfer-encoding'}
        for name, _value in headers
    )


def _stated_length(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the length that a valid head states, 0 if it states none."""
    for name, value in headers:
        if name == b'content-length':
            return read_count(value.strip(), most=_MAX_PARSED_LENGTH) or 0
    return 0
