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
from boragetrestle_kernel.http_pace import BodyPace
from boragetrestle_kernel.http_request import HttpRequest
from boragetrestle_kernel.http_strict import check_head

__all__ = ('HttpRequest', 'HttpServerConnection', 'RequestHandler')

_READ_BYTES = 65_536
_CLOSE = (b'connection', b'close')
_STATUS: dict[type[CallerError], HTTPStatus] = {
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

    What is queued is written by the next ``flush``, in one piece.
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
        self.is_hung_up = False
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
        """Whether the head of the final answer is on its way."""
        return self.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}

    @property
    def takes_trailers(self) -> bool:
        """Whether the present answer is sent in chunks."""
        version = self.protocol.their_http_version or b''
        return self.is_chunked and version > b'1.0'

    def hang_up(self) -> None:
        """Cancel what runs for the caller, since it has gone.

        A handler that sets ``outlives_caller`` runs on to its end.
        """
        self.is_hung_up = True
        if not self.outlives_caller:
            self.scope.cancel()

    def finish(self) -> None:
        """Close after the present or the next exchange."""
        self.is_last_exchange = True

    def close_if_idle(self) -> None:
        """Close unless a request is arriving or runs."""
        if self.is_idle:
            self.scope.cancel()

    async def serve(self, handler: RequestHandler) -> None:
        """Answer requests until the caller or the handler closes."""
        try:
            with self.scope:
                while await self._serve_one(handler):
                    self.protocol.start_next_cycle()
        except CallerError as error:
            await self._answer_fault(error)
        finally:
            await trio.aclose_forcefully(self.stream)

    def queue_head(self, status: int, fields: Fields) -> None:
        """Queue the head of the answer; an interim one for 1xx.

        Callers of HTTP/1.0 know no interim heads and get none.
        """
        if status < HTTPStatus.OK:
            if self.protocol.their_http_version == b'1.0':
                return
            self._queue(
                h11.InformationalResponse(status_code=status, headers=fields),
            )
            return
        closing = [*fields, _CLOSE] if self.is_last_exchange else fields
        head = h11.Response(status_code=status, headers=closing)
        self.is_chunked = not any(
            name == b'content-length' for name, _ in head.headers
        )
        self._queue(head)

    def queue_data(self, data: bytes) -> None:
        """Queue a part of the answer's body."""
        self._queue(h11.Data(data=data))

    def queue_end(self, trailers: Fields | None = None) -> None:
        """Queue the end of the answer; trailers go with chunks only."""
        taken = trailers if trailers and self.takes_trailers else []
        self._queue(h11.EndOfMessage(headers=taken))

    async def flush(self) -> None:
        """Write what is queued; raise ``CallerError`` if it is not taken."""
        if not self.queued:
            return
        data = b''.join(self.queued)
        self.queued.clear()
        with trio.move_on_after(self.limits.send_seconds):
            try:
                await self.stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as err:
                raise CallerGoneError('the caller closed') from err
            return
        raise SlowCallerError(
            'the caller takes its answer too slowly',
            remedy='read the answer faster',
        )

    async def send_head(self, status: int, fields: Fields) -> None:
        """Send the head of the answer."""
        self.queue_head(status, fields)
        await self.flush()

    async def send_data(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        self.queue_data(data)
        await self.flush()

    async def send_end(self, trailers: Fields | None = None) -> None:
        """End the answer."""
        self.queue_end(trailers)
        await self.flush()

    async def answer(
        self,
        status: int,
        fields: Fields,
        body: bytes = b'',
    ) -> None:
        """Send a whole small answer."""
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
        pace: BodyPace,
    ) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of a request body."""
        if self.protocol.they_are_waiting_for_100_continue:
            self.queue_head(HTTPStatus.CONTINUE.value, [])
            await self.flush()
        while True:
            event = self._read_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            self._feed(await self._receive_body(pace))

    async def _serve_one(self, handler: RequestHandler) -> bool:
        self.is_idle = True
        self.outlives_caller = False
        head = await self._receive_head()
        if head is None:
            return False
        self.is_idle = False
        request = HttpRequest(self, head)
        if request.is_whole:
            self._read_event()
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
        wait = self.limits.head_seconds if raw else self.limits.idle_seconds
        with trio.move_on_after(wait) as scope:
            event = self._read_event()
            while event is h11.NEED_DATA:
                data = await self._receive()
                if not raw:
                    self.is_idle = False
                    started = trio.current_time()
                    scope.deadline = started + self.limits.head_seconds
                raw += data
                self._feed(data)
                event = self._read_event()
        if scope.cancelled_caught and raw:
            raise SlowCallerError('the caller sends its head too slowly')
        if scope.cancelled_caught or not isinstance(event, h11.Request):
            return None
        rest = len(self.protocol.trailing_data[0])
        check_head(bytes(raw[: len(raw) - rest]), event)
        return event

    async def _receive(self) -> bytes:
        try:
            return bytes(await self.stream.receive_some(_READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError('the caller closed') from error

    async def _receive_body(self, pace: BodyPace) -> bytes:
        try:
            return await pace.receive(self.stream, _READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError('the caller closed') from error

    def _read_event(self) -> object:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedRequestError(str(error)) from error

    def _feed(self, data: bytes) -> None:
        try:
            self.protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise MalformedRequestError(str(error)) from error

    def _queue(self, event: h11.Event) -> None:
        data = self.protocol.send(event)
        if data:
            self.queued.append(data)

    async def _discard(self, request: HttpRequest) -> None:
        """Read the rest of a small body, so that the connection is kept."""
        with trio.move_on_after(self.limits.linger_seconds):
            await request.discard(max_bytes=self.limits.kept_body_bytes)
        if not request.is_whole:
            await self._linger()

    async def _linger(self) -> None:
        """End this side and pass over input until the caller closes.

        Closing at once would reset the connection and could destroy an answer
        that is on its way.
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

    async def _answer_fault(self, error: CallerError) -> None:
        status = _STATUS.get(type(error))
        if status is None or self.has_started_answer:
            return
        with trio.move_on_after(self.limits.linger_seconds):
            fields = [_CLOSE, (b'content-length', b'0')]
            try:
                await self.send_head(status.value, fields)
                await self.send_end()
                await self._linger()
            except (CallerError, h11.LocalProtocolError):
                return
