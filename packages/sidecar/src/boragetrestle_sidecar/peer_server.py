"""The guard's side of connections between nodes.

An entry, the node that took a request from its caller, connects to the guard of
another node, which enforces the limits of the target beside it.
"""

import asyncio
import math
from typing import TYPE_CHECKING, NamedTuple, cast

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.body_budget import LARGE_BODY_BYTES
from boragetrestle_sidecar.failure_trace import failure_trace
from boragetrestle_sidecar.frame_writer import FrameWriter
from boragetrestle_sidecar.guard_job import GuardJob, JobState
from boragetrestle_sidecar.link_socket import set_user_timeout
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind, Reason
from boragetrestle_sidecar.peer_frames import (
    FRAMES_VERSION,
    MAX_GREETING_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    decode_fields,
)
from boragetrestle_sidecar.run_buffers import RUN_MEMORY_SHARE, RunBuffers
from boragetrestle_sidecar.run_order import RunOrder
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.peer_messages import PeerMessages

ENTRY_SILENCE_SECONDS = 8.0  # entries ping idle links every 3 s
# The reason is one that nodes of earlier builds know.
_NOT_ENCODED = Outcome(OutcomeKind.UNKNOWN, Reason.ANSWER_GARBLED)


class Ping(NamedTuple):
    """A question for the guard's load; ``sent_at`` is on the entry's clock."""

    sent_at: float


class PeerServer:
    """The connections of all entries to this node's guard."""

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
        memory = guard.settings.memory_bytes
        self.buffers = RunBuffers(int(memory * RUN_MEMORY_SHARE))

    @property
    def owes_outcomes(self) -> bool:
        """Whether an outcome is still to be sent to an entry."""
        return any(each.unsent_bytes for each in self.connections)

    def broadcast(self, encoded: bytes) -> None:
        """Send an encoded frame to all connected entries."""
        for connection in self.connections:
            if connection.writer is not None:
                connection.writer.send_bytes(encoded)

    def abort_silent_connections(self) -> None:
        """Close connections over which nothing came for too long."""
        oldest = steady_now() - ENTRY_SILENCE_SECONDS
        for connection in list(self.connections):
            if connection.received_at < oldest:
                connection.abort()


class PeerConnection(asyncio.Protocol):
    """One entry's connection; ``jobs`` are its unfinished runs by number."""

    def __init__(self, server: PeerServer) -> None:
        self.server = server
        self.reader = FrameReader(MAX_GREETING_BYTES, server.buffers)
        self.writer: FrameWriter | None = None
        self.jobs: dict[int, GuardJob] = {}
        self.received_at = steady_now()
        self.min_clock_offset = math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        set_user_timeout(transport)
        self.writer = FrameWriter(cast('asyncio.Transport', transport))
        self.server.connections.add(self)

    def pause_writing(self) -> None:
        """Hold back large frames that the peer is slow to take."""
        if self.writer is not None:
            self.writer.pieces.pause()

    def resume_writing(self) -> None:
        """Write on."""
        if self.writer is not None:
            self.writer.pieces.resume()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the entry's runs, whose outcome it can no longer get."""
        self.writer = None
        self.server.connections.discard(self)
        self.server.guard.pool.buffers.writers.discard(self)
        self.reader.close()
        jobs = list(self.jobs.values())
        self.jobs.clear()
        for job in jobs:
            self.server.guard.cancel(job)

    def data_received(self, received: bytes) -> None:
        """Handle the frames that the entry sent; close on an invalid one."""
        self.received_at = steady_now()
        writer = self.writer
        if writer is None:
            return
        writer.hold()
        try:
            for frame in self.reader.feed(received):
                self._handle_frame(frame)
        except WireError as error:
            self.server.log.write_limited(
                'peer-frame-refused', error=str(error)
            )
            self.abort()
        finally:
            writer.release()

    @property
    def unsent_bytes(self) -> int:
        """How many bytes the entry has not taken of what was sent to it."""
        if self.writer is None:
            return 0
        return self.writer.pieces.unsent_bytes

    def abort(self) -> None:
        """Close the connection without flushing what is still unsent."""
        if self.writer is not None:
            self.writer.transport.abort()

    def send(self, kind: FrameKind, number: int, fields: object) -> bool:
        """Send a message; return whether the connection is open."""
        if self.writer is None:
            return False
        self.writer.send(kind, number, fields)
        return True

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind is FrameKind.RUN:
            self._start_run(frame)
        elif frame.kind is FrameKind.CANCEL:
            job = self.jobs.pop(frame.number, None)
            if job is not None:
                self.server.guard.cancel(job)
        elif frame.kind is FrameKind.PING:
            self._delivery_delay(decode_fields(frame, Ping).sent_at)
            load = self.server.messages.own_load()
            self.send(FrameKind.PONG, FRAMES_VERSION, load)
        else:
            self.server.messages.handle(frame, self.send, None)

    def _delivery_delay(self, sent_at: float) -> float:
        """Return the delay of a message beyond that of the quickest one.

        The clocks of two nodes differ by a constant, so only differences
        between messages tell their delay. An interrupted link or a host that
        was paused delivers late what was sent in time.
        """
        if not math.isfinite(sent_at):
            return math.inf  # the others would be measured against it
        offset = steady_now() - sent_at
        self.min_clock_offset = min(self.min_clock_offset, offset)
        return offset - self.min_clock_offset

    def _start_run(self, frame: Frame) -> None:
        number = frame.number
        held = 0

        def reply(outcome: Outcome) -> None:
            self.server.buffers.release(held)
            self.jobs.pop(number, None)
            self._send_outcome(number, outcome)
            self.server.guard.pool.buffers.record_writer(self)

        if frame.is_refused:
            reply(self._memory_full())
            return
        order = decode_fields(frame, RunOrder)
        if frame.body:
            order = order._replace(body=cast('bytes', frame.body))
        # A large body is in the fields if a newer build sends others behind it.
        if len(order.body) > LARGE_BODY_BYTES:
            held = len(order.body)
            self.server.buffers.hold(held)
        job = self.server.guard.submit(
            order,
            reply,
            transit_delay=self._delivery_delay(order.sent_at),
        )
        if job.state is not JobState.ENDED:
            self.jobs[number] = job

    def _send_outcome(self, number: int, outcome: Outcome) -> None:
        """Send an outcome, or that it is unknown if it can't be encoded."""
        try:
            self.send(FrameKind.OUTCOME, number, outcome)
        except Exception as error:
            self.server.log.write_limited(
                'outcome-failed',
                error=repr(error),
                trace=failure_trace(error),
            )
            self.send(FrameKind.OUTCOME, number, _NOT_ENCODED)

    def _memory_full(self) -> Outcome:
        """Return the outcome of a run that does not fit into the memory."""
        guard = self.server.guard
        return Outcome(
            OutcomeKind.NOT_SENT,
            Reason.QUEUE_FULL,
            retry_after=guard.run_seconds,
            load=guard.load,
        )
