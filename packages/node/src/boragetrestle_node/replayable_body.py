"""A request body that can be sent again if it is small."""

from collections.abc import AsyncIterator

import xxhash

from boragetrestle_kernel.errors import CallerError
from boragetrestle_kernel.http_server import HttpRequest

MAX_REPLAYABLE_BYTES = 65_536


class ReplayableBody:
    """Buffer a body while it is read, up to a limit in bytes.

    A longer body is streamed without being buffered and can be sent only once.
    ``is_broken`` tells that the caller ended it before it was complete.
    """

    def __init__(
        self,
        request: HttpRequest,
        *,
        limit: int = MAX_REPLAYABLE_BYTES,
    ) -> None:
        self.source = request
        self.limit = limit
        self.buffered_chunks: list[bytes] = []
        self.read_byte_count = 0
        self.is_replayable = True
        self.is_fully_read = False
        self.is_broken = False
        self.hash = xxhash.xxh3_64()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start; raise ``CallerError`` if it is cut."""
        for part in tuple(self.buffered_chunks):
            yield part
        while True:
            chunk = await self._read_chunk()
            if self.read_byte_count > self.limit:
                self.is_replayable = False
                self.buffered_chunks.clear()
            if not chunk:
                return
            if self.is_replayable:
                self.buffered_chunks.append(chunk)
            yield chunk

    async def read_digest_prefix(self) -> None:
        """Read and buffer the start of the body, which the digest covers."""
        while self.read_byte_count < self.limit:
            chunk = await self._read_chunk()
            if not chunk:
                return
            self.buffered_chunks.append(chunk)

    def digest(self) -> str:
        """Return a digest of the bytes read so far, up to the limit."""
        return self.hash.hexdigest()

    async def _read_chunk(self) -> bytes:
        """Read the next part; return ``b''`` at the end of the body."""
        if self.is_fully_read:
            return b''
        try:
            chunk = await self.source.next_chunk()
        except CallerError:
            self.is_broken = True
            raise
        self.is_fully_read = not chunk
        self.hash.update(chunk[: max(0, self.limit - self.read_byte_count)])
        self.read_byte_count += len(chunk)
        return chunk
