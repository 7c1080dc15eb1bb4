"""An HTTP response whose body may still be arriving."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from boragetrestle_kernel.errors import (
    IncompleteAnswerError,
    UnframedAnswerError,
)
from boragetrestle_kernel.http_fields import Fields, find_field

if TYPE_CHECKING:
    from boragetrestle_kernel.http_client import HttpClientConnection

_BODILESS = frozenset((
    HTTPStatus.NO_CONTENT.value,
    HTTPStatus.NOT_MODIFIED.value,
))


class HttpResponse:
    """The status and header fields of a response, with its body unread."""

    def __init__(
        self,
        connection: 'HttpClientConnection',
        head: h11.Response,
    ) -> None:
        self.connection = connection
        self.status: int = head.status_code
        self.fields: Fields = list(head.headers)
        self.trailers: Fields = []
        self.is_whole = False

    def require_framing(self, method: bytes) -> None:
        """Raise ``UnframedAnswerError`` unless the end of the body is certain.

        The body must have either ``Content-Length`` or ``Transfer-Encoding``.
        With neither it ends when the connection closes, which looks the same as
        a broken connection; with both the end is ambiguous.
        """
        if method == b'HEAD' or self.status in _BODILESS:
            return
        is_sized = bool(find_field(self.fields, b'content-length'))
        is_chunked = bool(find_field(self.fields, b'transfer-encoding'))
        if is_sized == is_chunked:
            raise UnframedAnswerError(
                'the answer has not exactly one of a length and chunks',
                remedy='let the target send Content-Length or chunks',
            )

    def ready_parts(self) -> list[bytes]:
        """Return the parts of the body that have arrived, without waiting.

        Raises ``IncompleteAnswerError`` if the connection ends too early.
        """
        parts: list[bytes] = []
        while not self.is_whole:
            event = self.connection.next_buffered_event()
            if event is None:
                break
            self._add_event(event, parts)
        return parts

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ``IncompleteAnswerError`` if it ends early."""
        while True:
            for part in self.ready_parts():
                yield part
            if self.is_whole:
                return
            await self.connection.receive_bytes()

    async def read(self) -> bytes:
        """Return the whole body."""
        parts = [part async for part in self.chunks()]
        return b''.join(parts)

    def _add_event(self, event: object, parts: list[bytes]) -> None:
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.trailers = list(event.headers)
            self.is_whole = True
        else:
            raise IncompleteAnswerError('the answer ended early')
