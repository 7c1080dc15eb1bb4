"""Write frames to a peer, batched by the bytes that they respond to."""

from typing import TYPE_CHECKING

from boragetrestle_sidecar.body_budget import LARGE_BODY_BYTES
from boragetrestle_sidecar.outcome import Outcome
from boragetrestle_sidecar.peer_frames import encode_frame, encode_parts
from boragetrestle_sidecar.piece_writer import PieceWriter
from boragetrestle_sidecar.run_order import RunOrder

if TYPE_CHECKING:
    import asyncio

    from boragetrestle_sidecar.peer_frames import FrameKind


class FrameWriter:
    """Write each frame at once, or hold frames until ``release``.

    A connection holds its frames while it handles received bytes, so that the
    answers to several frames take one system call. All others are written at
    once: a flush in the next iteration of the event loop would cost another
    iteration for nearly every frame.
    """

    def __init__(self, transport: 'asyncio.Transport') -> None:
        self.transport = transport
        self.pieces = PieceWriter(transport)
        self.pending: list[bytes] = []
        self.is_held = False

    def send(self, kind: 'FrameKind', number: int, fields: object) -> None:
        """Encode a frame and write it."""
        if isinstance(fields, RunOrder | Outcome):
            if len(fields.body) > LARGE_BODY_BYTES:
                for part in encode_parts(kind, number, fields):
                    self.send_bytes(part)
                return
        self.send_bytes(encode_frame(kind, number, fields))

    def send_bytes(self, encoded: bytes) -> None:
        """Write an encoded frame; drop it if the connection is closing."""
        if self.is_held:
            self.pending.append(encoded)
        else:
            self.pieces.write(encoded)

    def hold(self) -> None:
        """Keep frames back until ``release``."""
        self.is_held = True

    def release(self) -> None:
        """Write the frames held; drop them if the connection is closing."""
        self.is_held = False
        if not self.pending:
            return
        pending = self.pending
        self.pending = []
        if sum(map(len, pending)) <= LARGE_BODY_BYTES:
            pending = [b''.join(pending)]
        for encoded in pending:
            self.pieces.write(encoded)
