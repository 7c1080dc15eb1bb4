"""A request whose body may still be arriving."""

from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import h11

from boragetrestle_kernel.errors import BodyTooLargeError, CallerGoneError
from boragetrestle_kernel.http_fields import Fields, find_field
from boragetrestle_kernel.http_pace import BodyPace

if TYPE_CHECKING:
    from boragetrestle_kernel.http_server import HttpServerConnection


class HttpRequest:
    """The head of a request, with its body still on the connection.

    The first part of the body can be kept, so that it is sent on more than
    once; ``is_whole`` tells that the kept part is the whole body.
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
        self.kept = b''
        self.is_kept_taken = False
        self.body_bytes = 0
        self.is_whole = not self.has_body
        self.pace = BodyPace(connection.limits)

    def field(self, name: bytes) -> bytes:
        """Return the first value of a header field, or ``b''``."""
        return find_field(self.fields, name)

    @property
    def has_body(self) -> bool:
        """Whether the head announces a body."""
        length = self.field(b'content-length')
        is_sized = bool(length) and length != b'0'
        return is_sized or bool(self.field(b'transfer-encoding'))

    @property
    def declared_bytes(self) -> int:
        """The length that the head declares, 0 if it declares none."""
        return int(self.field(b'content-length') or b'0')

    def require_size(self) -> None:
        """Raise ``BodyTooLargeError`` if the declared length is too great."""
        self._bound(self.declared_bytes)

    async def keep(self, size: int | None = None) -> None:
        """Read and keep the body until at least ``size`` bytes or its end."""
        bound = self.connection.limits.kept_body_bytes if size is None else size
        parts = [self.kept]
        kept = len(self.kept)
        while kept < bound and not self.is_whole:
            part = await self._next_part()
            parts.append(part)
            kept += len(part)
        self.kept = b''.join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; see ``next_chunk``."""
        while True:
            chunk = await self.next_chunk()
            if not chunk:
                return
            yield chunk

    async def next_chunk(self) -> bytes:
        """Return the next part of the body, ``b''`` at its end.

        The kept part comes first. Nothing is lost if this is cancelled. Raises
        ``CallerError`` if the body is cut, late or too large.
        """
        if self.kept and not self.is_kept_taken:
            self.is_kept_taken = True
            return self.kept
        while not self.is_whole:
            part = await self._next_part()
            if part:
                return part
        return b''

    async def discard(self, *, max_bytes: int) -> None:
        """Read and drop the rest of the body, up to a size in bytes.

        The connection can be used again if the body ends within the size.
        """
        dropped = 0
        while dropped <= max_bytes:
            chunk = await self.next_chunk()
            if not chunk:
                return
            dropped += len(chunk)

    async def read(self) -> bytes:
        """Return the whole body."""
        await self.keep(self.connection.limits.body_bytes + 1)
        return self.kept

    async def _next_part(self) -> bytes:
        event = await self.connection.next_event(self.pace)
        if isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            self._bound(self.body_bytes)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.trailers = list(event.headers)
            self.is_whole = True
            return b''
        raise CallerGoneError('the caller closed before the body ended')

    def _bound(self, size: int) -> None:
        limit = self.connection.limits.body_bytes
        if size > limit:
            raise BodyTooLargeError(
                f'the request body has more than {limit} bytes',
                remedy='send a smaller body',
            )
