"""Write frames to a peer, those of one turn of the loop at once."""

import asyncio
from typing import TYPE_CHECKING

from boragetrestle_sidecar.peer_frames import encode_frame

if TYPE_CHECKING:
    from boragetrestle_sidecar.peer_frames import FrameKind


class FrameWriter:
    """Collect frames until the loop's next turn.

    Under load this makes one system call of many answers.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.pending: list[bytes] = []

    def send(self, kind: 'FrameKind', number: int, fields: object) -> None:
        """Send a frame soon."""
        self.send_bytes(encode_frame(kind, number, fields))

    def send_bytes(self, encoded: bytes) -> None:
        """Send an encoded frame soon."""
        if not self.pending:
            asyncio.get_running_loop().call_soon(self.flush)
        self.pending.append(encoded)

    def flush(self) -> None:
        """Send what was collected."""
        pending = self.pending
        self.pending = []
        if pending and not self.transport.is_closing():
            self.transport.write(b''.join(pending))
