"""A request body that can be sent again while it is small."""

from collections.abc import AsyncIterator

import xxhash

from boragetrestle_kernel.errors import CallerError
from boragetrestle_kernel.http_server import HttpRequest

MAX_KEPT_BYTES = 65_536


class ReplayableBody:
    """Keep what was read of a body, up to a limit in bytes.

    A body beyond the limit is passed through without being kept, and can then
    be sent only once. ``is_broken`` tells that the caller cut it.
    """

    def __init__(
        self,
        request: HttpRequest,
        *,
        limit: int = MAX_KEPT_BYTES,
    ) -> None:
        self.source = request
        self.limit = limit
        self.kept: list[bytes] = []
        self.read_bytes = 0
        self.is_replayable = True
        self.is_whole = False
        self.is_broken = False
        self.hash = xxhash.xxh3_64()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start; raise ``CallerError`` if it is cut."""
        for part in tuple(self.kept):
            yield part
        while True:
            chunk = await self._read()
            if self.read_bytes > self.limit:
                self.is_replayable = False
                self.kept.clear()
            if not chunk:
                return
            if self.is_replayable:
                self.kept.append(chunk)
            yield chunk

    async def read_start(self) -> None:
        """Read the body as far as its digest goes."""
        while self.read_bytes < self.limit:
            chunk = await self._read()
            if not chunk:
                return
            self.kept.append(chunk)

    def digest(self) -> str:
        """Return a digest of what was read, up to the limit."""
        return self.hash.hexdigest()

    async def _read(self) -> bytes:
        """Return the next part that is not empty, ``b''`` at the end."""
        if self.is_whole:
            return b''
        try:
            chunk = await self.source.next_chunk()
        except CallerError:
            self.is_broken = True
            raise
        self.is_whole = not chunk
        self.hash.update(chunk[: max(0, self.limit - self.read_bytes)])
        self.read_bytes += len(chunk)
        return chunk
