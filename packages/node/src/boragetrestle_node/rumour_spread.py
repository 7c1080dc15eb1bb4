"""Spread news about nodes over the overlay."""

import trio

from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.member_record import (
    Liveness,
    MemberRecord,
    Verdict,
)
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.fleet_messages import Rumours
from boragetrestle_node.members import Members
from boragetrestle_node.membership import Membership
from boragetrestle_node.neighbours import Neighbours

FLUSH_SECONDS = 0.05

_MESSAGE_RECORDS = 256
_EVENTS: dict[Liveness, EventKind] = {
    Liveness.SUSPECTED: EventKind.TARGET_SUSPECTED,
    Liveness.DEAD: EventKind.TARGET_LEFT,
    Liveness.LEFT: EventKind.TARGET_LEFT,
}


class RumourSpread:
    """Pass on each change of a record once, many in one message.

    An accusation of this node is refuted with a greater incarnation.
    """

    def __init__(
        self,
        members: Members,
        membership: Membership,
        neighbours: Neighbours,
        timeline: Timeline,
    ) -> None:
        self.members = members
        self.membership = membership
        self.neighbours = neighbours
        self.timeline = timeline
        self.pending: dict[NodeId, None] = {}
        self.arrived = trio.Event()
        members.watchers.append(self.note)
        neighbours.links.on(Rumours, self.receive)

    def note(self, record: MemberRecord, known: MemberRecord | None) -> None:
        """Queue a record that has changed, and record the event."""
        self.pending[record.node] = None
        self.arrived.set()
        if known is not None and known.liveness is record.liveness:
            return
        self.timeline.record(
            _event(record, known),
            subject=record.node,
            reason=record.liveness.name.lower(),
        )

    async def receive(self, _sender: NodeId, rumours: Rumours) -> None:
        """Take the news of another node."""
        await trio.lowlevel.checkpoint()
        self.take(*rumours.records)
        for verdict in rumours.verdicts:
            if verdict.node == self.membership.record.node:
                self.membership.refute(verdict.incarnation, verdict.liveness)
            else:
                self.members.judge(verdict)

    def take(self, *records: MemberRecord) -> None:
        """Merge records; refute those about this node."""
        own = self.membership.record.node
        for record in records:
            if record.node == own:
                self.membership.refute(record.incarnation, record.liveness)
            else:
                self.members.merge(record)

    async def run(self) -> None:
        """Send the queued news until cancelled."""
        while True:
            await self.arrived.wait()
            await trio.sleep(FLUSH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Send all queued news to the neighbours."""
        nodes = list(self.pending)
        self.pending.clear()
        self.arrived = trio.Event()
        for start in range(0, len(nodes), _MESSAGE_RECORDS):
            part = nodes[start : start + _MESSAGE_RECORDS]
            self.neighbours.broadcast(self._rumours(part))

    def _rumours(self, nodes: list[NodeId]) -> Rumours:
        records = [
            self.members.records[node]
            for node in nodes
            if node in self.members.records
        ]
        return Rumours(
            records=tuple(rec for rec in records if not _is_judged(rec)),
            verdicts=tuple(
                Verdict(rec.node, rec.incarnation, rec.liveness)
                for rec in records
                if _is_judged(rec)
            ),
        )


def _is_judged(record: MemberRecord) -> bool:
    return record.liveness in {Liveness.SUSPECTED, Liveness.DEAD}


def _event(record: MemberRecord, known: MemberRecord | None) -> EventKind:
    if record.liveness is Liveness.ALIVE and known is not None:
        return EventKind.TARGET_RETURNED
    return _EVENTS.get(record.liveness, EventKind.TARGET_JOINED)
