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
        self.is_writer_closed = False
        self.is_reader_closed = False
        self.changed = trio.lowlevel.ParkingLot()
        self.on_writer_close: HangUpCallback | None = None

    def send(self, data: bytes) -> None:
        """Queue bytes that arrive after the delay of the path."""
        delay = self.faults.delay_of(self.source, self.destination)
        self.chunks.append((trio.current_time() + delay, data))
        self.changed.unpark_all()

    def close_writer(self) -> None:
        """Signal end of file to the reader after the bytes sent so far."""
        self.is_writer_closed = True
        self.changed.unpark_all()
        if self.on_writer_close is not None:
            self.on_writer_close()
            self.on_writer_close = None

    def close_reader(self) -> None:
        """Drop all bytes; later sends and receives raise an error."""
        self.is_reader_closed = True
        self.chunks.clear()
        self.changed.unpark_all()

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next bytes, ``b''`` at end of file."""
        while True:
            await self.faults.wait_until_passable(self.source, self.destination)
            if self.is_reader_closed:
                raise trio.ClosedResourceError
            if not self.chunks:
                if self.is_writer_closed:
                    return b''
                await self.changed.park()
            elif self.chunks[0][0] > trio.current_time():
                await trio.sleep_until(self.chunks[0][0])
            else:
                return self._pop(max_bytes)

    def _pop(self, max_bytes: int) -> bytes:
        arrives_at, data = self.chunks.popleft()
        if len(data) > max_bytes:
            self.chunks.appendleft((arrives_at, data[max_bytes:]))
        return bytes(data[:max_bytes])


class MemoryWatch:
    """Call ``on_hang_up`` once when the writer of a pipe closes it."""

    def __init__(self, pipe: MemoryPipe, on_hang_up: HangUpCallback) -> None:
        self.pipe = pipe
        if pipe.is_writer_closed:
            on_hang_up()
        else:
            pipe.on_writer_close = on_hang_up

    def cancel(self) -> None:
        """Stop watching; the callback is not called any more."""
        self.pipe.on_writer_close = None


class MemoryStream(trio.abc.HalfCloseableStream):
    """One end of a connection, made of one pipe in each direction."""

    def __init__(self, outgoing: MemoryPipe, incoming: MemoryPipe) -> None:
        self.outgoing = outgoing
        self.incoming = incoming

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Queue bytes; a stalled path holds them back."""
        await trio.lowlevel.checkpoint()
        if self.outgoing.is_writer_closed:
            raise trio.ClosedResourceError
        if self.outgoing.is_reader_closed:
            raise trio.BrokenResourceError
        if data:
            self.outgoing.send(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once, since sending never blocks."""
        await trio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """End the outgoing direction."""
        await trio.lowlevel.checkpoint()
        self.outgoing.close_writer()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, ``b''`` at end of file."""
        await trio.lowlevel.checkpoint()
        return await self.incoming.receive(max_bytes or _RECEIVE_BYTES)

    async def aclose(self) -> None:
        """Close both directions."""
        self.outgoing.close_writer()
        self.incoming.close_reader()
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
