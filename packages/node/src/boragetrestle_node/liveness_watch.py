"""Watch the neighbours of a node and spread what happens to them."""

import random
from collections.abc import Callable

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.member_record import (
    Liveness,
    MemberRecord,
    Verdict,
)
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.fleet_messages import (
    Heartbeat,
    ProbeAsk,
    ProbeReply,
    Rumours,
)
from boragetrestle_node.members import Members
from boragetrestle_node.neighbours import SILENT_SECONDS, Neighbours

BEAT_SECONDS = 1.0

_BEAT_JITTER = (0.9, 1.0)
_PAUSE_SECONDS = 2.5
_SUSPECT_SECONDS = 5.0
_PROBE_SECONDS = 1.0
_PROBERS = 3
_FEW_NEIGHBOURS = 2
_REVIVE_BEATS = 5
_FORGET_SECONDS = 86_400.0


class LivenessWatch:
    """Send heartbeats; suspect, confirm and spread the loss of neighbours.

    A silent neighbour is suspected after other neighbours could not reach it
    either, and counts as dead if it refutes nothing. A node that hears less
    than half of its neighbours is itself isolated and accuses nobody; so is one
    that has lost the store with all neighbours in other failure domains.
    """

    def __init__(
        self,
        members: Members,
        neighbours: Neighbours,
        *,
        make_beat: Callable[[], Heartbeat],
        is_informed: Callable[[], bool],
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.neighbours = neighbours
        self.links = neighbours.links
        self.make_beat = make_beat
        self.is_informed = is_informed
        self.timeline = timeline
        self.rng = rng
        self.beats = 0
        self.probing: set[NodeId] = set()
        self.last_beat_at = 0.0
        self.links.on(ProbeAsk, self.answer_probe, is_slow=True)

    @property
    def is_isolated(self) -> bool:
        """Whether this node, not its neighbours, seems to be cut off."""
        silent = set(self.neighbours.silent())
        count = len(self.neighbours.overlay.neighbours)
        if count > _FEW_NEIGHBOURS and len(silent) * 2 > count:
            return True
        crossing = self.neighbours.crossing()
        is_domain_alone = bool(crossing) and crossing <= silent
        is_alone = count > 0 and len(silent) == count
        return (is_domain_alone or is_alone) and not self.is_informed()

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                started = trio.current_time()
                pause = BEAT_SECONDS * self.rng.uniform(*_BEAT_JITTER)
                await trio.sleep(pause)
                self._note_pause(trio.current_time() - started)
                self.beat_if_due()
                self._probe_silent(nursery)
                self._bury_suspects()
                self._revive_one()

    def beat(self) -> None:
        """Send a heartbeat to all neighbours now."""
        self.last_beat_at = trio.current_time()
        self.neighbours.beat(self.make_beat())

    def beat_if_due(self) -> None:
        """Send a heartbeat unless one was sent within the last period."""
        since = trio.current_time() - self.last_beat_at
        if since >= BEAT_SECONDS * _BEAT_JITTER[0]:
            self.beat()

    def note_beat(self, sender: NodeId, beat: Heartbeat) -> None:
        """Take a heartbeat; tell its sender if it counts as lost."""
        self.neighbours.note_heard(sender)
        known = self.members.records.get(sender)
        if known is None or known.liveness is Liveness.ALIVE:
            return
        if beat.incarnation <= known.incarnation:
            verdict = Verdict(sender, known.incarnation, known.liveness)
            self.links.send(known.peer_address, Rumours(verdicts=(verdict,)))

    async def answer_probe(self, _sender: NodeId, ask: ProbeAsk) -> ProbeReply:
        """Answer a probe, or pass it on to the node at its address."""
        if ask.address is None:
            await trio.lowlevel.checkpoint()
            return ProbeReply(is_reached=True)
        reply = await self.links.ask(
            ask.address,
            ProbeAsk(),
            timeout=_PROBE_SECONDS,
        )
        return ProbeReply(is_reached=reply is not None)

    def _note_pause(self, seconds: float) -> None:
        if seconds < _PAUSE_SECONDS:
            return
        self.neighbours.forgive()
        self.timeline.record(
            EventKind.FAULT,
            reason=f'the process was paused for {seconds:.1f} s',
            subject=self.neighbours.own,
        )

    def _probe_silent(self, nursery: trio.Nursery) -> None:
        for node in self.neighbours.silent():
            record = self.members.records[node]
            is_new = node not in self.probing
            if is_new and record.liveness is Liveness.ALIVE:
                self.probing.add(node)
                nursery.start_soon(self._probe, record)

    async def _probe(self, record: MemberRecord) -> None:
        others = [
            address
            for address in self.neighbours.addresses()
            if address != record.peer_address
        ]
        asked = self.rng.sample(others, k=min(_PROBERS, len(others)))
        reached: list[bool] = []

        async def ask(prober: Address) -> None:
            reply = await self.links.ask(
                prober,
                ProbeAsk(record.peer_address),
                timeout=_PROBE_SECONDS * 2,
            )
            reached.append(isinstance(reply, ProbeReply) and reply.is_reached)

        async with trio.open_nursery() as nursery:
            for prober in asked:
                nursery.start_soon(ask, prober)
        self.probing.discard(record.node)
        self.links.close(record.peer_address)
        if any(reached):
            self.neighbours.note_heard(record.node)
        elif self.neighbours.silence(record.node) > SILENT_SECONDS:
            self._suspect(record)

    def _suspect(self, record: MemberRecord) -> None:
        if not self.is_isolated:
            self._judge(record, Liveness.SUSPECTED)

    def _bury_suspects(self) -> None:
        """Count suspects as dead that refuted nothing in time."""
        if self.is_isolated:
            return
        for record in self.members.troubled():
            age = self.members.age(record.node)
            if record.liveness is Liveness.SUSPECTED:
                if age > _SUSPECT_SECONDS:
                    self._judge(record, Liveness.DEAD)
            elif age > _FORGET_SECONDS:
                self.members.forget(record.node)

    def _judge(self, record: MemberRecord, liveness: Liveness) -> None:
        verdict = Verdict(record.node, record.incarnation, liveness)
        self.members.judge(verdict)

    def _revive_one(self) -> None:
        """Try a dead node now and then, so that a healed cut is noticed."""
        self.beats += 1
        dead = [
            record
            for record in self.members.troubled()
            if record.liveness is Liveness.DEAD
        ]
        if dead and self.beats % _REVIVE_BEATS == 0:
            chosen = self.rng.choice(dead)
            self.links.send(chosen.peer_address, self.make_beat())
