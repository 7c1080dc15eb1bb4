"""Streams of the in-memory network."""

from collections import deque

import trio

from boragetrestle_kernel.hang_up import HangUpCallback
from boragetrestle_kernel.network_faults import NetworkFaults

_RECEIVE_BYTES = 65_536


class MemoryPipe:
    """Carry bytes one way from a source host to a destination host."""

    def __init__(
        self,
        source: str,
        destination: str,
        faults: NetworkFaults,
    ) -> None:
        self.source = source
        self.destination = destination
        self.faults = faults
        self.chunks: deque[tuple[float, bytes]] = deque()
        self.is_ended = False
        self.is_abandoned = False
        self.arrived = trio.lowlevel.ParkingLot()
        self.on_end: HangUpCallback | None = None

    def put(self, data: bytes) -> None:
        """Add bytes that arrive after the delay of the path."""
        delay = self.faults.delay_of(self.source, self.destination)
        self.chunks.append((trio.current_time() + delay, data))
        self.arrived.unpark_all()

    def end(self) -> None:
        """Let the reader see the end once it has read all bytes."""
        self.is_ended = True
        self.arrived.unpark_all()
        if self.on_end is not None:
            self.on_end()
            self.on_end = None

    def abandon(self) -> None:
        """Drop all bytes, since the reader is gone."""
        self.is_abandoned = True
        self.chunks.clear()
        self.arrived.unpark_all()

    async def take(self, max_bytes: int) -> bytes:
        """Return the next bytes, or none at the end."""
        while True:
            await self.faults.passable(self.source, self.destination)
            if self.is_abandoned:
                raise trio.ClosedResourceError
            if not self.chunks:
                if self.is_ended:
                    return b''
                await self.arrived.park()
            elif self.chunks[0][0] > trio.current_time():
                await trio.sleep_until(self.chunks[0][0])
            else:
                return self._pop(max_bytes)

    def _pop(self, max_bytes: int) -> bytes:
        due, data = self.chunks.popleft()
        if len(data) > max_bytes:
            self.chunks.appendleft((due, data[max_bytes:]))
        return bytes(data[:max_bytes])


class MemoryWatch:
    """One watched stream."""

    def __init__(self, pipe: MemoryPipe, on_hang_up: HangUpCallback) -> None:
        self.pipe = pipe
        if pipe.is_ended:
            on_hang_up()
        else:
            pipe.on_end = on_hang_up

    def cancel(self) -> None:
        """Stop to watch."""
        self.pipe.on_end = None


class MemoryStream(trio.abc.HalfCloseableStream):
    """One end of a connection, made of one pipe in each direction."""

    def __init__(self, outgoing: MemoryPipe, incoming: MemoryPipe) -> None:
        self.outgoing = outgoing
        self.incoming = incoming

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; a stalled path keeps them."""
        await trio.lowlevel.checkpoint()
        if self.outgoing.is_ended:
            raise trio.ClosedResourceError
        if self.outgoing.is_abandoned:
            raise trio.BrokenResourceError
        if data:
            self.outgoing.put(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once, since sending never blocks."""
        await trio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """End the outgoing direction."""
        await trio.lowlevel.checkpoint()
        self.outgoing.end()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, or none at the end."""
        await trio.lowlevel.checkpoint()
        return await self.incoming.take(max_bytes or _RECEIVE_BYTES)

    async def aclose(self) -> None:
        """Close both directions."""
        self.outgoing.end()
        self.incoming.abandon()
        await trio.lowlevel.checkpoint()


def connect_hosts(
    near: str,
    far: str,
    faults: NetworkFaults,
) -> tuple[MemoryStream, MemoryStream]:
    """Return both ends of a new connection between two hosts."""
    forth = MemoryPipe(near, far, faults)
    back = MemoryPipe(far, near, faults)
    return MemoryStream(forth, back), MemoryStream(back, forth)
