"""The connection of an entry to the guard of another node.

The entry is the node that took a request from its caller; the guard enforces
the limits of the target beside its node. A run is one call at that target.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.answer_buffers import AnswerBuffers
from boragetrestle_sidecar.answer_reader import MAX_ANSWER_BYTES, is_status
from boragetrestle_sidecar.frame_writer import FrameWriter
from boragetrestle_sidecar.link_socket import set_user_timeout
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind, Reason
from boragetrestle_sidecar.peer_frames import (
    FRAMES_VERSION,
    Frame,
    FrameKind,
    FrameReader,
    decode_fields,
    encode_frame,
)
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_kernel.errors import HttpError
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.peer_messages import PeerMessages
    from boragetrestle_sidecar.run_order import RunOrder

# Several round trips between failure domains, with one lost packet.
CONNECT_TIMEOUT_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0  # a restarted node is connected again within it
# Longer than several round trips with a lost packet: a peer that owes a reply
# for this long has stalled or is cut off, and its link is dropped.
PEER_SILENCE_SECONDS = 1.5
# A peer that owes a reply for this long is pinged, since a run may take longer
# than the silence that is tolerated.
PING_AFTER_SECONDS = 0.2
# Below the silence after which the peer drops the link.
IDLE_PING_INTERVAL_SECONDS = 3.0
MAX_UNSENT_FRAMES = 64  # more requests than wait for tokens of one node
_LINK_LOST = Outcome(OutcomeKind.UNKNOWN, Reason.LINK_LOST)
_CANCELLED = Outcome(OutcomeKind.UNKNOWN, Reason.CALLER_GONE)
_GARBLED = Outcome(OutcomeKind.UNKNOWN, Reason.ANSWER_GARBLED)
_NO_ROOM = Outcome(OutcomeKind.UNKNOWN, Reason.NO_ROOM)
_NOT_CONNECTED = Outcome(OutcomeKind.NOT_SENT, Reason.UNREACHABLE)


class PeerLink(asyncio.Protocol):
    """Maintain one connection to a node and send runs over it.

    ``replies`` holds the callback of each run that has no outcome yet, and
    ``unsent`` frames for a peer to which the link is being opened.
    ``reply_due_since`` is when the peer was first sent something that it has
    to answer, or None if nothing is unanswered. ``answers`` bounds what links
    hold of answers that are being received.
    """

    def __init__(
        self,
        address: 'Address',
        messages: 'PeerMessages',
        log: 'DecisionLog',
        answers: AnswerBuffers | None = None,
    ) -> None:
        self.answers = answers or AnswerBuffers(MAX_ANSWER_BYTES)
        self.address = address
        self.messages = messages
        self.log = log
        self.reader = FrameReader()
        self.writer: FrameWriter | None = None
        self.replies: dict[int, Callable[[Outcome], None]] = {}
        self.last_number = 0
        self.received_at = 0.0
        self.reply_due_since: float | None = None
        self.pinged_at = 0.0
        self.disconnected = asyncio.Event()
        self.down_since = steady_now()
        self.used_at = self.down_since
        self.unsent: list[bytes] = []
        self.has_tried = False

    @property
    def is_up(self) -> bool:
        """Whether the connection is open."""
        return self.writer is not None

    @property
    def is_new(self) -> bool:
        """Whether the first attempt to connect is still going on."""
        return not self.has_tried and self.writer is None

    def run(
        self,
        order: 'RunOrder',
        reply: Callable[[Outcome], None],
    ) -> int:
        """Send a run to the guard; return the number by which it is cancelled.

        Without a connection ``reply`` gets the outcome that nothing was sent.
        """
        self.last_number += 1
        self.used_at = steady_now()
        if self.writer is None:
            asyncio.get_running_loop().call_soon(reply, _NOT_CONNECTED)
        else:
            self.writer.send(FrameKind.RUN, self.last_number, order)
            self.replies[self.last_number] = reply
            self._expect_reply(self.used_at)
        return self.last_number

    def unanswered_seconds(self, now: float) -> float:
        """Return for how long the peer has left a message unanswered."""
        if self.reply_due_since is None:
            return 0.0
        return now - max(self.reply_due_since, self.received_at)

    def check_liveness(self, now: float) -> None:
        """Ping a peer that is quiet; drop the link of one that stays silent."""
        if self.writer is None:
            return
        silent = self.unanswered_seconds(now)
        if silent > PEER_SILENCE_SECONDS:
            self.log.write_unlimited(
                'peer-silent',
                peer=str(self.address),
                seconds=silent,
            )
            self.abort()
        elif self.pinged_at <= self.received_at:
            is_idle = now - self.received_at > IDLE_PING_INTERVAL_SECONDS
            if is_idle or silent > PING_AFTER_SECONDS:
                self._ping(now)

    def cancel(self, number: int) -> None:
        """Cancel a run; what the guard reports of it is ignored."""
        reply = self.replies.pop(number, None)
        if reply is None:
            return
        if self.writer is not None:
            self.writer.send(FrameKind.CANCEL, number, ())
        reply(_CANCELLED)

    def probe(self, now: float) -> bool:
        """Ask the guard for its load; return whether an answer is due."""
        if self.writer is None:
            return False
        if self.pinged_at <= self.received_at:
            self._ping(now)
        return True

    def send(self, kind: FrameKind, number: int, fields: object) -> bool:
        """Send a message that is no run; return false if the link is down.

        What is sent while the link is opened for the first time is kept until
        it is up.
        """
        if self.writer is not None:
            self.writer.send(kind, number, fields)
            return True
        if self.is_new and len(self.unsent) < MAX_UNSENT_FRAMES:
            self.unsent.append(encode_frame(kind, number, fields))
            return True
        return False

    async def stay_connected(self) -> None:
        """Connect, and reconnect with backoff when the connection is lost."""
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            is_connected = await self._connect()
            self.has_tried = True
            self.unsent.clear()
            if is_connected:
                backoff = INITIAL_BACKOFF_SECONDS
                await self.disconnected.wait()
            await asyncio.sleep(backoff)
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first message to the peer and ping it."""
        set_user_timeout(transport)
        self.reader = FrameReader()
        self.writer = FrameWriter(cast('asyncio.Transport', transport))
        self.writer.hold()
        self.received_at = steady_now()
        self.reply_due_since = None
        self.disconnected.clear()
        hello = self.messages.hello_fields(self.address)
        self.writer.send(FrameKind.HELLO, FRAMES_VERSION, hello)
        for encoded in self.unsent:
            self.writer.send_bytes(encoded)
        self.unsent.clear()
        self._ping(self.received_at)
        self.writer.release()
        self.log.write_unlimited('peer-found', peer=str(self.address))

    def pause_writing(self) -> None:
        """Hold back large frames that the peer is slow to take."""
        if self.writer is not None:
            self.writer.pieces.pause()

    def resume_writing(self) -> None:
        """Write on."""
        if self.writer is not None:
            self.writer.pieces.resume()

    def connection_lost(self, error: Exception | None) -> None:
        """End the runs sent over the connection with an unknown outcome."""
        self.writer = None
        self.answers.record(self, 0)
        self.reader = FrameReader()
        self.down_since = steady_now()
        self.disconnected.set()
        self.log.write_unlimited(
            'peer-lost',
            peer=str(self.address),
            error=repr(error),
            runs=len(self.replies),
        )
        try:
            self.messages.mark_unreachable(self.address)
        finally:
            replies = list(self.replies.values())
            self.replies.clear()
            for reply in replies:
                reply(_LINK_LOST)

    def data_received(self, received: bytes) -> None:
        """Handle the frames that the peer sent; drop the link on a bad one."""
        self.received_at = steady_now()
        writer = self.writer
        if writer is None:
            return
        writer.hold()
        try:
            for frame in self.reader.feed(received):
                self._handle_frame(frame)
        except WireError as error:
            self._refuse(error)
            return
        finally:
            writer.release()
        held = self.reader.partial_bytes(FrameKind.OUTCOME)
        self.answers.record(self, held)
        if not self.replies:
            self.reply_due_since = None

    def refuse(self, error: 'HttpError') -> None:
        """Give up the answer that is being received; others go on."""
        try:
            frame = self.reader.skip_partial()
        except WireError as invalid:
            self._refuse(invalid)
            return
        self.log.write_limited(
            'peer-answer-refused',
            peer=str(self.address),
            error=str(error),
        )
        if frame.kind is FrameKind.OUTCOME and frame.number in self.replies:
            self.replies.pop(frame.number)(_NO_ROOM)

    def abort(self) -> None:
        """Close the connection without flushing what is still unsent."""
        if self.writer is not None:
            self.writer.transport.abort()

    def _refuse(self, error: WireError) -> None:
        self.log.write_limited(
            'peer-frame-refused',
            peer=str(self.address),
            error=str(error),
        )
        self.abort()

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind is not FrameKind.OUTCOME:
            self.messages.handle(frame, self.send, self.address)
            return
        if frame.number not in self.replies:
            return
        outcome = decode_fields(frame, Outcome)
        is_answer = outcome.kind is OutcomeKind.ANSWERED
        if is_answer and not is_status(outcome.status):
            self.log.write_limited(
                'peer-status-refused',
                peer=str(self.address),
                status=outcome.status,
            )
            outcome = _GARBLED._replace(load=outcome.load)
        self.replies.pop(frame.number)(outcome)

    async def _connect(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(
                    lambda: self,
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError, UnicodeError) as error:
            self.log.write_limited(
                'peer-unreachable',
                peer=str(self.address),
                error=repr(error),
            )
            return False
        return True

    def _ping(self, now: float) -> None:
        assert self.writer is not None
        self.pinged_at = now
        self._expect_reply(now)
        self.writer.send(FrameKind.PING, 0, [now])

    def _expect_reply(self, now: float) -> None:
        if self.reply_due_since is None:
            self.reply_due_since = now
