"""Exchange with neighbours what is known about the store."""

import random
from collections import Counter
from enum import Enum

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import DomainName, NodeId
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.fleet_messages import FreshnessAsk, FreshnessReply
from boragetrestle_node.freshness import Freshness
from boragetrestle_node.liveness_watch import LivenessWatch
from boragetrestle_node.members import Members
from boragetrestle_node.neighbours import Neighbours

_ASK_SECONDS = 1.0
_STALE_ASK_SECONDS = 0.5
_STALE_SECONDS = 2.5
_JITTER = (0.8, 1.2)


class StoreView(Enum):
    """What a node makes of its knowledge of the store."""

    FRESH = 'fresh'
    OUTAGE = 'most members have lost the store'
    ISOLATED = 'this node has lost contact with store and fleet'


class FreshnessExchange:
    """Keep the bound on the store's time, and tell outage from isolation.

    In normal times one random neighbour is asked a second; when the newest
    read grows old, all of them are.
    """

    def __init__(
        self,
        freshness: Freshness,
        members: Members,
        neighbours: Neighbours,
        watch: LivenessWatch,
        *,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.freshness = freshness
        self.members = members
        self.neighbours = neighbours
        self.watch = watch
        self.timeline = timeline
        self.view = StoreView.FRESH
        self.rng = rng
        self.sizes: Counter[DomainName] = Counter()
        self.sized_at: int | None = None
        neighbours.links.on(FreshnessAsk, self.answer)

    def may_go_on(self) -> bool:
        """Return whether keyed calls are safe to run now.

        They are while the newest read is fresh, and in an outage of the store
        that most members in most failure domains see.
        """
        return self.look() is not StoreView.ISOLATED

    def look(self) -> StoreView:
        """Return what the knowledge of the store amounts to now."""
        now = trio.current_time()
        if self.freshness.is_fresh(now=now):
            return StoreView.FRESH
        if self._is_outage(now):
            return StoreView.OUTAGE
        return StoreView.ISOLATED

    async def run(self) -> None:
        """Ask neighbours until cancelled."""
        while True:
            self._note_view()
            is_stale = self._is_stale()
            pause = _STALE_ASK_SECONDS if is_stale else _ASK_SECONDS
            await trio.sleep(pause * self.rng.uniform(*_JITTER))
            addresses = self.neighbours.addresses()
            if addresses and not self._is_stale():
                addresses = [self.rng.choice(addresses)]
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    nursery.start_soon(self.ask, address)

    async def ask(self, address: Address) -> None:
        """Ask one neighbour; ages count from when it was asked."""
        asked_at = trio.current_time()
        reply = await self.neighbours.links.ask(
            address,
            FreshnessAsk(),
            timeout=_STALE_ASK_SECONDS,
        )
        if not isinstance(reply, FreshnessReply):
            return
        if reply.store_now is not None:
            self.freshness.note_clock(reply.store_now, at=asked_at)
        for domain, age in reply.lost.items():
            self.freshness.note_lost(DomainName(domain), asked_at - age)

    async def answer(
        self,
        _sender: NodeId,
        _ask: FreshnessAsk,
    ) -> FreshnessReply:
        """Tell a neighbour what this node knows."""
        await trio.lowlevel.checkpoint()
        now = trio.current_time()
        lost = self.freshness.lost_domains(now=now) if self._is_stale() else {}
        return FreshnessReply(
            store_now=self.freshness.store_now(now=now),
            lost={str(domain): age for domain, age in lost.items()},
        )

    def _note_view(self) -> None:
        view = self.look()
        if view is not self.view:
            self.view = view
            self.timeline.record(EventKind.STORE_VIEW, reason=view.value)

    def _is_stale(self) -> bool:
        return self.freshness.age(now=trio.current_time()) > _STALE_SECONDS

    def _is_outage(self, now: float) -> bool:
        lost = self.freshness.lost_domains(now=now)
        sizes = self._domain_sizes()
        lost_members = sum(sizes[domain] for domain in lost)
        lost_domains = sum(domain in sizes for domain in lost)
        is_most_members = lost_members * 2 > sizes.total()
        is_most_domains = lost_domains * 2 > len(sizes)
        is_most = is_most_members and is_most_domains
        return is_most and not self.watch.is_isolated

    def _domain_sizes(self) -> Counter[DomainName]:
        if self.sized_at != self.members.digest:
            self.sized_at = self.members.digest
            self.sizes = Counter(
                record.domain for record in self.members.present()
            )
        return self.sizes
