"""A request whose body may still be arriving."""

from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import h11

from boragetrestle_kernel.errors import BodyTooLargeError, CallerGoneError
from boragetrestle_kernel.http_fields import Fields, find_field
from boragetrestle_kernel.http_pace import BodyRateCheck

if TYPE_CHECKING:
    from boragetrestle_kernel.http_server import HttpServerConnection


class HttpRequest:
    """The request line and header fields, with the body still unread.

    The first part of the body can be buffered, so that it can be sent to more
    than one target. ``is_whole`` tells whether the body has been read to its
    end.
    """

    def __init__(
        self,
        connection: 'HttpServerConnection',
        head: h11.Request,
    ) -> None:
        self.connection = connection
        self.method: bytes = head.method
        self.target: bytes = head.target
        self.fields: Fields = list(head.headers)
        self.trailers: Fields = []
        self.buffered_body = b''
        self.is_buffer_consumed = False
        self.body_bytes = 0
        self.is_whole = not self.has_body
        self.rate_check = BodyRateCheck(connection.limits)

    def field(self, name: bytes) -> bytes:
        """Return the first value of a header field, or ``b''``."""
        return find_field(self.fields, name)

    @property
    def has_body(self) -> bool:
        """Whether the header fields announce a body."""
        length = self.field(b'content-length')
        is_sized = bool(length) and length != b'0'
        return is_sized or bool(self.field(b'transfer-encoding'))

    @property
    def declared_bytes(self) -> int:
        """The value of ``Content-Length``, 0 without one."""
        return int(self.field(b'content-length') or b'0')

    def check_declared_size(self) -> None:
        """Raise ``BodyTooLargeError`` if ``Content-Length`` is over the limit."""
        self._check_size(self.declared_bytes)

    async def buffer_body(self, size: int | None = None) -> None:
        """Buffer the body up to at least ``size`` bytes or its end.

        ``size`` defaults to the limit ``buffered_body_bytes``.
        """
        wanted_bytes = (
            self.connection.limits.buffered_body_bytes if size is None else size
        )
        parts = [self.buffered_body]
        buffered_bytes = len(self.buffered_body)
        while buffered_bytes < wanted_bytes and not self.is_whole:
            part = await self._next_part()
            parts.append(part)
            buffered_bytes += len(part)
        self.buffered_body = b''.join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; see ``next_chunk``."""
        while True:
            chunk = await self.next_chunk()
            if not chunk:
                return
            yield chunk

    async def next_chunk(self) -> bytes:
        """Return the next part of the body, ``b''`` at its end.

        The buffered part comes first. Cancelling this loses no bytes. Raises
        ``CallerError`` if the body ends early, arrives too slowly or is too
        large.
        """
        if self.buffered_body and not self.is_buffer_consumed:
            self.is_buffer_consumed = True
            return self.buffered_body
        while not self.is_whole:
            part = await self._next_part()
            if part:
                return part
        return b''

    async def discard(self, *, max_bytes: int) -> None:
        """Read and drop the rest of the body, up to about ``max_bytes``.

        The connection can serve another request if the body has ended then.
        """
        dropped = 0
        while dropped <= max_bytes:
            chunk = await self.next_chunk()
            if not chunk:
                return
            dropped += len(chunk)

    async def read(self) -> bytes:
        """Buffer and return the whole body."""
        await self.buffer_body(self.connection.limits.body_bytes + 1)
        return self.buffered_body

    async def _next_part(self) -> bytes:
        event = await self.connection.next_event(self.rate_check)
        if isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            self._check_size(self.body_bytes)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.trailers = list(event.headers)
            self.is_whole = True
            return b''
        raise CallerGoneError(
            'the caller closed the connection before the body ended'
        )

    def _check_size(self, size: int) -> None:
        limit = self.connection.limits.body_bytes
        if size > limit:
            raise BodyTooLargeError(
                f'the request body has more than {limit} bytes',
                remedy='send a smaller body',
            )
