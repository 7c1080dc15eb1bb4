"""One HTTP/1.1 client connection."""

from collections.abc import AsyncIterator
from types import TracebackType
from typing import Self

import h11
import trio

from boragetrestle_kernel.errors import HttpError, IncompleteAnswerError
from boragetrestle_kernel.http_fields import Fields

_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536


class HttpResponse:
    """The head of an answer, with its body still on the connection."""

    def __init__(
        self,
        connection: 'HttpClientConnection',
        head: h11.Response,
    ) -> None:
        self.connection = connection
        self.status: int = head.status_code
        self.fields: Fields = list(head.headers)
        self.trailers: Fields = []

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ``IncompleteAnswerError`` if it is cut."""
        while True:
            event = await self.connection.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.trailers = list(event.headers)
                return
            else:
                raise IncompleteAnswerError('the answer ended early')

    async def read(self) -> bytes:
        """Return the whole body."""
        parts = [part async for part in self.chunks()]
        return b''.join(parts)


class HttpClientConnection:
    """One connection to a server, used for one exchange at a time.

    The connection counts as reusable only after a whole exchange; a cancelled
    or cut exchange leaves it unusable, so that a late answer cannot reach
    another call.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=_MAX_HEAD_BYTES,
        )

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange ended whole and the peer keeps alive."""
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    def start_next(self) -> None:
        """Make the connection ready for another exchange."""
        self.protocol.start_next_cycle()

    async def send_head(
        self,
        method: bytes,
        path: bytes,
        fields: Fields,
    ) -> None:
        """Send the head of a request."""
        await self._send(
            h11.Request(method=method, target=path, headers=fields),
        )

    async def send_data(self, data: bytes) -> None:
        """Send a part of the request body."""
        await self._send(h11.Data(data=data))

    async def send_end(self, trailers: Fields | None = None) -> None:
        """End the request."""
        await self._send(h11.EndOfMessage(headers=trailers or []))

    async def receive_head(self) -> HttpResponse:
        """Return the final head; interim heads are passed over."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return HttpResponse(self, event)
            if not isinstance(event, h11.InformationalResponse):
                raise HttpError('the server closed before it answered')

    async def request(
        self,
        method: bytes,
        path: bytes,
        fields: Fields,
        body: bytes = b'',
    ) -> HttpResponse:
        """Send a request with a small body and return the answer's head."""
        sized = [*fields, (b'content-length', str(len(body)).encode())]
        await self.send_head(method, path, sized)
        if body:
            await self.send_data(body)
        await self.send_end()
        return await self.receive_head()

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event from the server."""
        try:
            while True:
                event = self.protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
                self.protocol.receive_data(
                    bytes(await self.stream.receive_some(_READ_BYTES)),
                )
        except h11.RemoteProtocolError as error:
            raise IncompleteAnswerError(str(error)) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError('the connection broke') from error

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

    async def _send(self, event: h11.Event) -> None:
        data = self.protocol.send(event)
        if not data:
            return
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError('the connection broke while sending') from error
