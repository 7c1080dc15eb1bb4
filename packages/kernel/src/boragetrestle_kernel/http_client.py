"""One HTTP/1.1 client connection."""

import select
from collections.abc import Callable
from types import TracebackType
from typing import Self

import h11
import trio

from boragetrestle_kernel.errors import HttpError, IncompleteAnswerError
from boragetrestle_kernel.http_fields import Fields
from boragetrestle_kernel.http_response import HttpResponse

__all__ = ('HttpClientConnection', 'HttpResponse')

_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536
# A server in trouble may send interim responses without end.
_MAX_INTERIM_RESPONSES = 64
_MAX_STATUS = 599
_VERSIONS = frozenset((b'1.0', b'1.1'))

InterimHandler = Callable[[h11.InformationalResponse], None]


def _ignore_interim(_head: h11.InformationalResponse) -> None:
    """Ignore an interim (1xx) response."""


def _check_status_line(head: h11.Response) -> None:
    """Refuse what h11 reads and HTTP/1.1 does not know."""
    if head.http_version in _VERSIONS and head.status_code <= _MAX_STATUS:
        return
    version = bytes(head.http_version).decode()
    raise IncompleteAnswerError(
        f'HTTP/{version} {head.status_code} begins no response of HTTP/1.1',
        remedy='check the server for faults',
    )


class HttpClientConnection:
    """One connection to a server, used for one exchange at a time.

    An exchange is one request with its response. The connection is reusable
    only after a complete exchange; a cancelled or interrupted exchange leaves
    it unusable, so that a late response cannot reach another call. The
    ``queue_...`` methods collect bytes that the next ``flush`` writes.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.is_closed_by_peer = False
        self.method = b''
        self.queued: list[bytes] = []
        self.protocol = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=_MAX_HEAD_BYTES,
        )

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange completed and the connection stays open.

        Bytes after the end of the response make a connection unusable.
        """
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
            and not self.is_closed_by_peer
            and not self.protocol.trailing_data[0]
        )

    def is_stale(self) -> bool:
        """Whether the server closed or wrote to this idle connection."""
        if self.is_closed_by_peer:
            return True
        if not isinstance(self.stream, trio.SocketStream):
            return False
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def mark_closed_by_peer(self) -> None:
        """Record that the server closed the connection."""
        self.is_closed_by_peer = True

    def start_next(self) -> None:
        """Reset the protocol state for another exchange."""
        self.protocol.start_next_cycle()

    def queue_head(self, method: bytes, path: bytes, fields: Fields) -> None:
        """Queue the request line and header fields."""
        self.method = method
        self._queue(h11.Request(method=method, target=path, headers=fields))

    def queue_data(self, data: bytes) -> None:
        """Queue a part of the request body."""
        self._queue(h11.Data(data=data))

    def queue_end(self, trailers: Fields | None = None) -> None:
        """Queue the end of the request."""
        self._queue(h11.EndOfMessage(headers=trailers or []))

    async def flush(self) -> None:
        """Write all queued bytes; raise ``HttpError`` if the connection broke."""
        if not self.queued:
            return
        data = b''.join(self.queued)
        self.queued.clear()
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError('the connection broke while sending') from error

    async def send_head(
        self,
        method: bytes,
        path: bytes,
        fields: Fields,
    ) -> None:
        """Send the request line and header fields."""
        self.queue_head(method, path, fields)
        await self.flush()

    async def send_data(self, data: bytes) -> None:
        """Send a part of the request body."""
        self.queue_data(data)
        await self.flush()

    async def send_end(self, trailers: Fields | None = None) -> None:
        """Send the end of the request."""
        self.queue_end(trailers)
        await self.flush()

    async def receive_head(
        self,
        on_interim: InterimHandler = _ignore_interim,
    ) -> HttpResponse:
        """Return the final response; pass 1xx ones to ``on_interim``.

        Raises ``HttpError`` for a response that ends early, that has no status
        of HTTP/1, or that has no certain end (see
        ``HttpResponse.require_framing``), or after too many interim ones.
        """
        interim_left = _MAX_INTERIM_RESPONSES
        while interim_left:
            event = self.next_buffered_event()
            if event is None:
                await self.receive_bytes()
            elif isinstance(event, h11.InformationalResponse):
                interim_left -= 1
                on_interim(event)
            elif isinstance(event, h11.Response):
                _check_status_line(event)
                response = HttpResponse(self, event)
                response.require_framing(self.method)
                return response
            else:
                raise HttpError('the server closed before it answered')
        raise HttpError(
            f'the server sent {_MAX_INTERIM_RESPONSES} interim responses and '
            'no final one',
            remedy='check the server for faults',
        )

    async def request(
        self,
        method: bytes,
        path: bytes,
        fields: Fields,
        body: bytes = b'',
    ) -> HttpResponse:
        """Send a request with a small body; return its unread response."""
        sized = [*fields, (b'content-length', str(len(body)).encode())]
        self.queue_head(method, path, sized)
        if body:
            self.queue_data(body)
        self.queue_end()
        await self.flush()
        return await self.receive_head()

    def next_buffered_event(self) -> object | None:
        """Return the next event from received bytes, ``None`` without one."""
        try:
            event = self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise IncompleteAnswerError(str(error)) from error
        return None if event is h11.NEED_DATA else event

    async def receive_bytes(self) -> None:
        """Wait for bytes from the server and pass them to the parser."""
        try:
            data = bytes(await self.stream.receive_some(_READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError('the connection broke') from error
        self.protocol.receive_data(data)

    async def aclose(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self.stream)

    async def __aenter__(self) -> Self:
        """Return the connection."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection."""
        await self.aclose()

    def _queue(self, event: h11.Event) -> None:
        try:
            data = self.protocol.send(event)
        except h11.LocalProtocolError as error:
            raise HttpError(f'the request cannot be sent: {error}') from error
        if data:
            self.queued.append(data)
