"""Serve HTTP/1.1 requests on one connection."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import h11
import trio

from boragetrestle_kernel.errors import (
    BodyTooLargeError,
    CallerError,
    CallerGoneError,
    MalformedRequestError,
    SlowCallerError,
)
from boragetrestle_kernel.http_fields import Fields
from boragetrestle_kernel.http_limits import DEFAULT_LIMITS, HttpLimits
from boragetrestle_kernel.http_pace import BodyRateCheck
from boragetrestle_kernel.http_request import HttpRequest
from boragetrestle_kernel.http_strict import check_head

__all__ = ('HttpRequest', 'HttpServerConnection', 'RequestHandler')

_READ_BYTES = 65_536
_CONNECTION_CLOSE = (b'connection', b'close')
_STATUS_BY_ERROR: dict[type[CallerError], HTTPStatus] = {
    MalformedRequestError: HTTPStatus.BAD_REQUEST,
    BodyTooLargeError: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    SlowCallerError: HTTPStatus.REQUEST_TIMEOUT,
}

RequestHandler = Callable[
    [HttpRequest, 'HttpServerConnection'],
    Awaitable[None],
]


class HttpServerConnection:
    """Serve the requests of one stream, one after another.

    An exchange is one request with its response. The ``queue_...`` methods
    collect bytes that the next ``flush`` writes at once. ``owner`` is the
    organisation whose connections include this one; the code that limits
    connections by organisation sets it.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        *,
        limits: HttpLimits = DEFAULT_LIMITS,
        peer_host: str = '',
    ) -> None:
        self.stream = stream
        self.peer_host = peer_host
        self.owner = ''
        self.limits = limits
        self.has_caller_closed = False
        self.outlives_caller = False
        self.is_last_exchange = False
        self.is_idle = True
        self.is_chunked = False
        self.queued: list[bytes] = []
        self.scope = trio.CancelScope()
        self.protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.head_bytes,
        )

    @property
    def has_started_answer(self) -> bool:
        """Whether the status line of the final response has been queued."""
        return self.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}

    @property
    def allows_trailers(self) -> bool:
        """Whether the response is chunked, so that trailers may follow it."""
        version = self.protocol.their_http_version or b''
        return self.is_chunked and version > b'1.0'

    def handle_caller_close(self) -> None:
        """Cancel the handler because the caller closed the connection.

        A handler that has set ``outlives_caller`` is not cancelled.
        """
        self.has_caller_closed = True
        if not self.outlives_caller:
            self.scope.cancel()

    def close_after_exchange(self) -> None:
        """Close after the current exchange, or after the next one if idle."""
        self.is_last_exchange = True

    def close_if_idle(self) -> None:
        """Close unless a request is arriving or being handled."""
        if self.is_idle:
            self.scope.cancel()

    async def serve(self, handler: RequestHandler) -> None:
        """Answer requests until either side closes the connection."""
        try:
            with self.scope:
                while await self._serve_one(handler):
                    self.protocol.start_next_cycle()
        except CallerError as error:
            await self._answer_error(error)
        finally:
            await trio.aclose_forcefully(self.stream)

    def queue_head(self, status: int, fields: Fields) -> None:
        """Queue the status line and header fields of a response.

        Interim (1xx) responses are dropped for HTTP/1.0, which has none.
        """
        if status < HTTPStatus.OK:
            if self.protocol.their_http_version == b'1.0':
                return
            self._queue(
                h11.InformationalResponse(status_code=status, headers=fields),
            )
            return
        all_fields = (
            [*fields, _CONNECTION_CLOSE] if self.is_last_exchange else fields
        )
        head = h11.Response(status_code=status, headers=all_fields)
        self.is_chunked = not any(
            name == b'content-length' for name, _ in head.headers
        )
        self._queue(head)

    def queue_data(self, data: bytes) -> None:
        """Queue a part of the response body."""
        self._queue(h11.Data(data=data))

    def queue_end(self, trailers: Fields | None = None) -> None:
        """Queue the end of the response; trailers only after chunks."""
        allowed = trailers if trailers and self.allows_trailers else []
        self._queue(h11.EndOfMessage(headers=allowed))

    async def flush(self) -> None:
        """Write all queued bytes; raise ``CallerError`` if that fails."""
        if not self.queued:
            return
        data = b''.join(self.queued)
        self.queued.clear()
        with trio.move_on_after(self.limits.send_seconds):
            try:
                await self.stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
                raise CallerGoneError(
                    'the caller closed the connection during the response',
                ) from err
            return
        raise SlowCallerError(
            'the caller reads the response too slowly',
            remedy='read the response faster',
        )

    async def send_head(self, status: int, fields: Fields) -> None:
        """Send the status line and header fields of a response."""
        self.queue_head(status, fields)
        await self.flush()

    async def send_data(self, data: bytes) -> None:
        """Send a part of the response body."""
        self.queue_data(data)
        await self.flush()

    async def send_end(self, trailers: Fields | None = None) -> None:
        """Send the end of the response."""
        self.queue_end(trailers)
        await self.flush()

    async def answer(
        self,
        status: int,
        fields: Fields,
        body: bytes = b'',
    ) -> None:
        """Send a complete response with a small body."""
        sized = [*fields, (b'content-length', str(len(body)).encode())]
        self.queue_head(status, sized)
        if body:
            self.queue_data(body)
        self.queue_end()
        await self.flush()

    async def aclose(self) -> None:
        """Close the connection at once."""
        self.queued.clear()
        await trio.aclose_forcefully(self.stream)

    async def next_event(
        self,
        rate_check: BodyRateCheck,
    ) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of a request body.

        Sends ``100 Continue`` first if the caller waits for it.
        """
        if self.protocol.they_are_waiting_for_100_continue:
            self.queue_head(HTTPStatus.CONTINUE.value, [])
            await self.flush()
        while True:
            event = self._parse_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            self._add_to_parser(await self._receive_body(rate_check))

    async def _serve_one(self, handler: RequestHandler) -> bool:
        self.is_idle = True
        self.outlives_caller = False
        head = await self._receive_head()
        if head is None:
            return False
        self.is_idle = False
        request = HttpRequest(self, head)
        if request.is_whole:
            self._parse_event()
        await handler(request, self)
        await self.flush()
        if self.protocol.their_state is h11.SEND_BODY:
            await self._discard(request)
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    async def _receive_head(self) -> h11.Request | None:
        raw = bytearray(self.protocol.trailing_data[0])
        timeout_seconds = (
            self.limits.head_seconds if raw else self.limits.idle_seconds
        )
        with trio.move_on_after(timeout_seconds) as scope:
            event = self._parse_event()
            while event is h11.NEED_DATA:
                data = await self._receive()
                if not raw:
                    self.is_idle = False
                    started = trio.current_time()
                    scope.deadline = started + self.limits.head_seconds
                raw += data
                self._add_to_parser(data)
                event = self._parse_event()
        if scope.cancelled_caught and raw:
            raise SlowCallerError(
                'the caller sends the request head too slowly'
            )
        if scope.cancelled_caught or not isinstance(event, h11.Request):
            return None
        rest = len(self.protocol.trailing_data[0])
        check_head(bytes(raw[: len(raw) - rest]), event)
        return event

    async def _receive(self) -> bytes:
        try:
            return bytes(await self.stream.receive_some(_READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError('the caller closed the connection') from error

    async def _receive_body(self, rate_check: BodyRateCheck) -> bytes:
        try:
            return await rate_check.receive(self.stream, _READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError('the caller closed the connection') from error

    def _parse_event(self) -> object:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedRequestError(str(error)) from error

    def _add_to_parser(self, data: bytes) -> None:
        try:
            self.protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise MalformedRequestError(str(error)) from error

    def _queue(self, event: h11.Event) -> None:
        data = self.protocol.send(event)
        if data:
            self.queued.append(data)

    async def _discard(self, request: HttpRequest) -> None:
        """Drop the rest of a small body, so that the connection stays open."""
        with trio.move_on_after(self.limits.linger_seconds):
            await request.discard(max_bytes=self.limits.buffered_body_bytes)
        if not request.is_whole:
            await self._drain_until_closed()

    async def _drain_until_closed(self) -> None:
        """Send end of file, then drop input until the caller closes.

        Closing with unread input would make TCP reset the connection, which
        could destroy a response before the caller has read it.
        """
        if not isinstance(self.stream, trio.abc.HalfCloseableStream):
            return
        with trio.move_on_after(self.limits.linger_seconds):
            try:
                await self.stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            while await self._receive():
                await trio.lowlevel.checkpoint()

    async def _answer_error(self, error: CallerError) -> None:
        status = _STATUS_BY_ERROR.get(type(error))
        if status is None or self.has_started_answer:
            return
        with trio.move_on_after(self.limits.linger_seconds):
            fields = [_CONNECTION_CLOSE, (b'content-length', b'0')]
            try:
                await self.send_head(status.value, fields)
                await self.send_end()
                await self._drain_until_closed()
            except (CallerError, h11.LocalProtocolError):
                return
