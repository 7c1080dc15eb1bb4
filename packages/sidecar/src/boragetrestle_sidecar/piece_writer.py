"""Write large buffers to a connection without a copy in its transport."""

from collections import deque
from typing import TYPE_CHECKING

from boragetrestle_sidecar.body_budget import LARGE_BODY_BYTES

if TYPE_CHECKING:
    import asyncio

PIECE_BYTES = 262_144


class PieceWriter:
    """Hand buffers to a transport in pieces, as fast as the peer takes them.

    A transport copies what the peer does not take at once. Order is kept:
    what is written behind a large buffer waits for it. The protocol of the
    transport passes ``pause_writing`` and ``resume_writing`` on.
    """

    def __init__(self, transport: 'asyncio.Transport') -> None:
        self.transport = transport
        self.waiting: deque[memoryview] = deque()
        self.is_paused = False

    @property
    def unsent_bytes(self) -> int:
        """How much the peer has not been sent yet."""
        waiting = sum(map(len, self.waiting))
        return waiting + self.transport.get_write_buffer_size()

    def write(self, buffer: bytes) -> None:
        """Write a buffer; drop it if the connection is closing.

        The buffer must not be changed afterwards.
        """
        if len(buffer) <= LARGE_BODY_BYTES and not self.waiting:
            if not self.transport.is_closing():
                self.transport.write(buffer)
            return
        self.waiting.append(memoryview(buffer))
        self._write_pieces()

    def pause(self) -> None:
        """Write no more until the peer has taken what it was sent."""
        self.is_paused = True

    def resume(self) -> None:
        """Write on."""
        self.is_paused = False
        self._write_pieces()

    def clear(self) -> None:
        """Release what has not been written."""
        self.waiting.clear()

    def _write_pieces(self) -> None:
        if self.transport.is_closing():
            self.clear()
        while self.waiting and not self.is_paused:
            buffer = self.waiting.popleft()
            if len(buffer) > PIECE_BYTES:
                self.waiting.appendleft(buffer[PIECE_BYTES:])
            self.transport.write(buffer[:PIECE_BYTES])
            if self.transport.is_closing():
                self.clear()
