"""Write frames to a peer, batched by iteration of the event loop."""

import asyncio
from typing import TYPE_CHECKING

from boragetrestle_sidecar.peer_frames import encode_frame

if TYPE_CHECKING:
    from boragetrestle_sidecar.peer_frames import FrameKind


class FrameWriter:
    """Buffer frames until the next iteration of the event loop.

    Under load many answers then take one system call.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.pending: list[bytes] = []

    def send(self, kind: 'FrameKind', number: int, fields: object) -> None:
        """Encode a frame and queue it for the next flush."""
        self.send_bytes(encode_frame(kind, number, fields))

    def send_bytes(self, encoded: bytes) -> None:
        """Queue an encoded frame for the next flush."""
        if not self.pending:
            asyncio.get_running_loop().call_soon(self.flush)
        self.pending.append(encoded)

    def flush(self) -> None:
        """Write the queued frames; drop them if the connection is closing."""
        pending = self.pending
        self.pending = []
        if pending and not self.transport.is_closing():
            self.transport.write(b''.join(pending))
