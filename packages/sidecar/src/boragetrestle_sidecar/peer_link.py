"""The connection of an entry to the guard of another node."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
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
# Three missed statuses and a round trip: the peer stands still or is cut off.
SILENT_SECONDS = 1.5
PING_SECONDS = 0.5  # below the silence after which the peer drops the link
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
            self.writer.send(FrameKind.RUN, self.number, order)
        return self.number

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
                await self._watch()
            await asyncio.sleep(pause)
            pause = min(LONGEST_PAUSE_SECONDS, pause * 2)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the peer."""
        tune_link(transport)
        self.reader = FrameReader()
        self.writer = FrameWriter(cast('asyncio.Transport', transport))
        self.heard_at = steady_now()
        self.lost.clear()
        self.writer.send(FrameKind.HELLO, 0, self.messages.hello())
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

    async def _watch(self) -> None:
        while self.writer is not None:
            silent = steady_now() - self.heard_at
            if silent > SILENT_SECONDS:
                self.log.always(
                    'peer-silent',
                    peer=str(self.address),
                    seconds=silent,
                )
                self.drop()
            else:
                self.writer.send(FrameKind.PING, 0, [steady_now()])
            await self._wait_for_loss()

    async def _wait_for_loss(self) -> None:
        with suppress(TimeoutError):  # the usual end of the wait
            async with asyncio.timeout(PING_SECONDS):
                await self.lost.wait()
