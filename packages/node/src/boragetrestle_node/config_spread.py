"""Bring changes of the configuration from neighbours into force."""

from collections import deque
from collections.abc import Callable

import msgspec
import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.change import Change
from boragetrestle_kernel.fleet_state import FleetState, Snapshot
from boragetrestle_kernel.ids import NodeId, Version
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.fleet_messages import ChangesAsk, ChangesReply
from boragetrestle_node.peer_links import PeerLinks

_KEPT_CHANGES = 128
_ASK_SECONDS = 1.0
_MAX_PULLS = 2


class ConfigSpread:
    """Pull newer changes from the neighbour that first tells of them.

    Heartbeats carry the version in force, and a new version is told at once,
    so that a change crosses the overlay without being sent to any node twice.
    A neighbour that no longer keeps the changes answers with a snapshot.
    """

    def __init__(
        self,
        state: FleetState,
        links: PeerLinks,
        timeline: Timeline,
    ) -> None:
        self.state = state
        self.links = links
        self.timeline = timeline
        self.kept: deque[Change] = deque(maxlen=_KEPT_CHANGES)
        self.pulling: set[Address] = set()
        self.watchers: list[Callable[[], None]] = []
        links.on(ChangesAsk, self.answer)

    def take(self, change: Change) -> None:
        """Put a change in force if it is the next one."""
        if not self.state.apply(change).is_applied:
            return
        self.kept.append(change)
        self._note()

    def restore(self, snapshot: Snapshot) -> None:
        """Put a snapshot in force if it is newer."""
        if not self.state.restore(snapshot).is_applied:
            return
        self.kept.clear()
        self._note()

    async def pull(self, address: Address) -> None:
        """Ask a node for the changes that this one lacks."""
        if address in self.pulling or not self.may_pull:
            return
        self.pulling.add(address)
        try:
            reply = await self.links.ask(
                address,
                ChangesAsk(self.state.version),
                timeout=_ASK_SECONDS,
            )
        finally:
            self.pulling.discard(address)
        if isinstance(reply, ChangesReply):
            self.take_reply(reply)

    def take_reply(self, reply: ChangesReply) -> None:
        """Put in force what a neighbour answered, as far as it is newer."""
        if reply.snapshot:
            self.restore(msgspec.json.decode(reply.snapshot, type=Snapshot))
        for row in reply.rows:
            self.take(msgspec.json.decode(row, type=Change))

    @property
    def may_pull(self) -> bool:
        """Whether another question may run; a second covers a lost one."""
        return len(self.pulling) < _MAX_PULLS

    async def answer(self, _sender: NodeId, ask: ChangesAsk) -> ChangesReply:
        """Answer with changes, after a snapshot for a node far behind."""
        await trio.lowlevel.checkpoint()
        if ask.after >= self.state.version:
            return ChangesReply()
        first = self.kept[0].version if self.kept else self.state.version + 1
        if ask.after + 1 >= first:
            return ChangesReply(rows=self._rows_after(ask.after))
        return ChangesReply(
            snapshot=msgspec.json.encode(self.state.snapshot()),
        )

    def _rows_after(self, version: Version) -> tuple[bytes, ...]:
        return tuple(
            msgspec.json.encode(change)
            for change in self.kept
            if change.version > version
        )

    def _note(self) -> None:
        self.timeline.record(
            EventKind.CHANGE_IN_FORCE,
            subject=str(self.state.version),
        )
        for watcher in self.watchers:
            watcher()
