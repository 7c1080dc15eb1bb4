"""Write frames to a peer, batched by the bytes that they respond to."""

from typing import TYPE_CHECKING

from boragetrestle_sidecar.peer_frames import encode_frame

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
        self.pending: list[bytes] = []
        self.is_held = False

    def send(self, kind: 'FrameKind', number: int, fields: object) -> None:
        """Encode a frame and write it."""
        self.send_bytes(encode_frame(kind, number, fields))

    def send_bytes(self, encoded: bytes) -> None:
        """Write an encoded frame; drop it if the connection is closing."""
        if self.is_held:
            self.pending.append(encoded)
        elif not self.transport.is_closing():
            self.transport.write(encoded)

    def hold(self) -> None:
        """Keep frames back until ``release``."""
        self.is_held = True

    def release(self) -> None:
        """Write the frames held; drop them if the connection is closing."""
        self.is_held = False
        if self.pending:
            encoded = b''.join(self.pending)
            self.pending.clear()
            self.send_bytes(encoded)
