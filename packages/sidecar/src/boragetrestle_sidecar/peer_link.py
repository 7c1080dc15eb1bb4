"""The connection of an entry to the guard of another node."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.frame_writer import FrameWriter
from boragetrestle_sidecar.link_socket import tune_link
from boragetrestle_sidecar.outcome import (
    GuardLoad,
    Outcome,
    OutcomeKind,
    Reason,
)
from boragetrestle_sidecar.peer_frames import Frame, FrameKind, FrameReader
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.peer_messages import PeerMessages
    from boragetrestle_sidecar.run_order import RunOrder

CONNECT_SECONDS = 1.0  # several round trips between domains, with one loss
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 1.0  # a node that restarts is found again within it
# Several round trips with a loss: the peer stands still or is cut off.
SILENT_SECONDS = 1.5
# A peer that owes a word for this long is pinged: runs may take longer.
PING_SECONDS = 0.2
# Below the silence after which the peer drops the link; a fleet has a link
# between any two nodes, so what idle ones cost grows with its square.
IDLE_PING_SECONDS = 3.0
_LINK_LOST = Outcome(OutcomeKind.UNKNOWN, Reason.LINK_LOST)
_NOT_CONNECTED = Outcome(OutcomeKind.NOT_SENT, Reason.UNREACHABLE)


class PeerLink(asyncio.Protocol):
    """Keep one connection to a node and carry runs over it."""

    def __init__(
        self,
        address: 'Address',
        messages: 'PeerMessages',
        log: 'DecisionLog',
    ) -> None:
        self.address = address
        self.messages = messages
        self.log = log
        self.reader = FrameReader()
        self.writer: FrameWriter | None = None
        self.replies: dict[int, Callable[[Outcome], None]] = {}
        self.number = 0
        self.heard_at = 0.0
        self.asked_at: float | None = None
        self.pinged_at = 0.0
        self.lost = asyncio.Event()
        self.down_since = steady_now()

    @property
    def is_up(self) -> bool:
        """Whether the connection is open."""
        return self.writer is not None

    def run(
        self,
        order: 'RunOrder',
        reply: Callable[[Outcome], None],
    ) -> int:
        """Send a run to the guard."""
        self.number += 1
        if self.writer is None:
            asyncio.get_running_loop().call_soon(reply, _NOT_CONNECTED)
        else:
            self.replies[self.number] = reply
            self._expect_word(steady_now())
            self.writer.send(FrameKind.RUN, self.number, order)
        return self.number

    def silent_seconds(self, now: float) -> float:
        """Return for how long the peer has owed a word."""
        if self.asked_at is None:
            return 0.0
        return now - max(self.asked_at, self.heard_at)

    def check(self, now: float) -> None:
        """Ping a peer that has been quiet; drop one that stays silent."""
        if self.writer is None:
            return
        silent = self.silent_seconds(now)
        if silent > SILENT_SECONDS:
            self.log.always(
                'peer-silent',
                peer=str(self.address),
                seconds=silent,
            )
            self.drop()
        elif self.pinged_at <= self.heard_at:
            is_idle = now - self.heard_at > IDLE_PING_SECONDS
            if is_idle or silent > PING_SECONDS:
                self._ping(now)

    def cancel(self, number: int) -> None:
        """Give up a run."""
        reply = self.replies.pop(number, None)
        if reply is not None and self.writer is not None:
            self.writer.send(FrameKind.CANCEL, number, ())

    def send(self, kind: FrameKind, number: int, fields: object) -> bool:
        """Send another message; return whether the link is up."""
        if self.writer is None:
            return False
        self.writer.send(kind, number, fields)
        return True

    async def keep(self) -> None:
        """Connect, and connect again when the connection is lost."""
        pause = FIRST_PAUSE_SECONDS
        while True:
            if await self._connect():
                pause = FIRST_PAUSE_SECONDS
                await self.lost.wait()
            await asyncio.sleep(pause)
            pause = min(LONGEST_PAUSE_SECONDS, pause * 2)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the peer."""
        tune_link(transport)
        self.reader = FrameReader()
        self.writer = FrameWriter(cast('asyncio.Transport', transport))
        self.heard_at = steady_now()
        self.asked_at = None
        self.lost.clear()
        self.writer.send(FrameKind.HELLO, 0, self.messages.hello())
        self._ping(self.heard_at)
        self.log.always('peer-found', peer=str(self.address))

    def connection_lost(self, error: Exception | None) -> None:
        """End what ran over the connection with an unknown outcome."""
        self.writer = None
        self.down_since = steady_now()
        self.lost.set()
        self.log.always(
            'peer-lost',
            peer=str(self.address),
            error=repr(error),
            runs=len(self.replies),
        )
        self.messages.lost(self.address)
        replies = list(self.replies.values())
        self.replies.clear()
        for reply in replies:
            reply(_LINK_LOST)

    def data_received(self, received: bytes) -> None:
        """Take frames of the peer."""
        self.heard_at = steady_now()
        try:
            frames = self.reader.feed(received)
        except WireError as error:
            self.log.always(
                'peer-frame-refused',
                peer=str(self.address),
                error=str(error),
            )
            self.drop()
            return
        for frame in frames:
            self._take(frame)
        if not self.replies:
            self.asked_at = None

    def drop(self) -> None:
        """Close the connection without waiting for the peer."""
        if self.writer is not None:
            self.writer.transport.abort()

    def _take(self, frame: Frame) -> None:
        if frame.kind is not FrameKind.OUTCOME:
            self.messages.take(frame, self.send, self.address)
            return
        reply = self.replies.pop(frame.number, None)
        if reply is None:
            return
        outcome = Outcome(*frame.fields)
        reply(
            outcome._replace(
                kind=OutcomeKind(outcome.kind),
                reason=Reason(outcome.reason),
                load=GuardLoad(*outcome.load),
            )
        )

    async def _connect(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(
                    lambda: self,
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError) as error:
            self.log.line(
                'peer-unreachable',
                peer=str(self.address),
                error=repr(error),
            )
            return False
        return True

    def _ping(self, now: float) -> None:
        assert self.writer is not None
        self.pinged_at = now
        self._expect_word(now)
        self.writer.send(FrameKind.PING, 0, [now])

    def _expect_word(self, now: float) -> None:
        if self.asked_at is None:
            self.asked_at = now
