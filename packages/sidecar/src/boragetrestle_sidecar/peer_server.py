"""The guard's side of connections between nodes."""

import asyncio
import math
from typing import TYPE_CHECKING, cast

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.frame_writer import FrameWriter
from boragetrestle_sidecar.guard_job import GuardJob, JobState
from boragetrestle_sidecar.link_socket import tune_link
from boragetrestle_sidecar.peer_frames import Frame, FrameKind, FrameReader
from boragetrestle_sidecar.run_order import RunOrder
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.outcome import Outcome
    from boragetrestle_sidecar.peer_messages import PeerMessages

SILENT_SECONDS = 8.0  # entries ping idle links every 3 s


class PeerServer:
    """Accept entries, run what they send and tell them this node's status."""

    def __init__(
        self,
        guard: 'Guard',
        messages: 'PeerMessages',
        log: 'DecisionLog',
    ) -> None:
        self.guard = guard
        self.messages = messages
        self.log = log
        self.connections: set[PeerConnection] = set()

    def broadcast(self, encoded: bytes) -> None:
        """Send an encoded frame to all entries."""
        for connection in self.connections:
            if connection.writer is not None:
                connection.writer.send_bytes(encoded)

    def drop_silent(self) -> None:
        """Close connections of entries that have gone without a word."""
        oldest = steady_now() - SILENT_SECONDS
        for connection in list(self.connections):
            if connection.heard_at < oldest:
                connection.drop()


class PeerConnection(asyncio.Protocol):
    """One entry's connection."""

    def __init__(self, server: PeerServer) -> None:
        self.server = server
        self.reader = FrameReader()
        self.writer: FrameWriter | None = None
        self.jobs: dict[int, GuardJob] = {}
        self.heard_at = steady_now()
        self.least_offset = math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the connection."""
        tune_link(transport)
        self.writer = FrameWriter(cast('asyncio.Transport', transport))
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Give up the runs of an entry that is gone."""
        self.writer = None
        self.server.connections.discard(self)
        jobs = list(self.jobs.values())
        self.jobs.clear()
        for job in jobs:
            self.server.guard.cancel(job)

    def data_received(self, received: bytes) -> None:
        """Take frames of the entry."""
        self.heard_at = steady_now()
        try:
            frames = self.reader.feed(received)
        except WireError as error:
            self.server.log.always('peer-frame-refused', error=str(error))
            self.drop()
            return
        for frame in frames:
            self._take(frame)

    def drop(self) -> None:
        """Close the connection at once."""
        if self.writer is not None:
            self.writer.transport.abort()

    def send(self, kind: FrameKind, number: int, fields: object) -> bool:
        """Send a message; return whether the connection is open."""
        if self.writer is None:
            return False
        self.writer.send(kind, number, fields)
        return True

    def _take(self, frame: Frame) -> None:
        if frame.kind is FrameKind.RUN:
            self._run(frame)
        elif frame.kind is FrameKind.CANCEL:
            job = self.jobs.pop(frame.number, None)
            if job is not None:
                self.server.guard.cancel(job)
        elif frame.kind is FrameKind.PING:
            self._held_up(frame.fields[0])
            self.send(FrameKind.PONG, frame.number, ())
        else:
            self.server.messages.take(frame, self.send, None)

    def _held_up(self, sent_at: float) -> float:
        """Return how much later than the quickest message this one came.

        The clocks of two nodes differ by a constant; a cut link or a host that
        stood still delivers late what was sent in time.
        """
        offset = steady_now() - sent_at
        self.least_offset = min(self.least_offset, offset)
        return offset - self.least_offset

    def _run(self, frame: Frame) -> None:
        number = frame.number

        def reply(outcome: 'Outcome') -> None:
            self.jobs.pop(number, None)
            self.send(FrameKind.OUTCOME, number, outcome)

        order = RunOrder(*frame.fields)
        job = self.server.guard.submit(
            order,
            reply,
            held_up=self._held_up(order.sent_at),
        )
        if job.state is not JobState.ENDED:
            self.jobs[number] = job
