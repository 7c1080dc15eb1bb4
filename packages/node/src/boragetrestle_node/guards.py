"""The guards of the targets beside a node."""

import random
from collections.abc import Callable, Mapping

import trio

import boragetrestle_node.additive_increase  # noqa: F401
import boragetrestle_node.arrival_queue  # noqa: F401
import boragetrestle_node.class_fair_queue  # noqa: F401
import boragetrestle_node.controlled_delay  # noqa: F401
import boragetrestle_node.fixed_limit  # noqa: F401
import boragetrestle_node.gradient_limit  # noqa: F401
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import NodeId, OrgId, ServiceName, TargetId
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.lease_message import (
    LeaseAsk,
    LeaseGrant,
    LeaseRecall,
)
from boragetrestle_node.limit_policy import LIMIT_POLICIES
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.policies import Policies
from boragetrestle_node.queue_order import QUEUE_ORDERS, WeightOf
from boragetrestle_node.service_times import ServiceTimes
from boragetrestle_node.slot_guard import SlotGuard

_DEFAULT_WEIGHT = 1.0
_SWEEP_SECONDS = 0.05
_UNKNOWN_TARGET = LeaseGrant(slots=0, seconds=0, pause=1)


class Guards:
    """Keep one guard for each target that this node announced.

    ``own`` holds the newest records of these targets.
    """

    def __init__(
        self,
        own: Mapping[TargetId, TargetRecord],
        *,
        state: FleetState,
        policies: Policies,
        rng: random.Random,
        times: ServiceTimes,
        timeline: Timeline,
        links: PeerLinks,
    ) -> None:
        self.own = own
        self.state = state
        self.policies = policies
        self.rng = rng
        self.times = times
        self.timeline = timeline
        self.links = links
        self.by_target: dict[TargetId, SlotGuard] = {}
        self.queued = trio.Event()
        links.on(LeaseAsk, self.handle_ask)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Start queued calls in slots whose leases lapse."""
        task_status.started()
        while True:
            await self.queued.wait()
            await trio.sleep(_SWEEP_SECONDS)
            guards = list(self.by_target.values())
            for guard in guards:
                guard.pump()
            if not any(guard.queue for guard in guards):
                self.queued = trio.Event()

    async def handle_ask(self, node: NodeId, ask: LeaseAsk) -> LeaseGrant:
        """Answer a node that asks for slots of an own target."""
        await trio.lowlevel.checkpoint()
        record = self.own.get(TargetId(ask.target))
        if record is None:
            return _UNKNOWN_TARGET
        return self.of_target(record).lender.lend(node, ask)

    def of_service(self, service: ServiceName) -> SlotGuard:
        """Return the guard of the target that serves a service.

        Raises ``RefusedError`` if no target beside this node does.
        """
        for record in self.own.values():
            if record.service == service:
                return self.of_target(record)
        raise RefusedError(Refusal(RefusalCode.NO_TARGET, retry_after=1))

    def of_target(self, record: TargetRecord) -> SlotGuard:
        """Return the guard of a target, at the capacity it declares now."""
        guard = self.by_target.get(record.target)
        if guard is None:
            guard = build_guard(
                record,
                policies=self.policies,
                weight_of=self._weight,
                times=self.times,
                timeline=self.timeline,
                rng=self.rng,
                on_queued=self._recall,
            )
            self.by_target[record.target] = guard
        guard.target = record
        guard.policy.ceiling = _ceiling(record)
        return guard

    def _recall(self, guard: SlotGuard) -> None:
        self.queued.set()
        recall = LeaseRecall(guard.target.target)
        for address in guard.lender.book.recall():
            self.links.send(Address.parse(address), recall)

    def _weight(self, organisation: OrgId) -> float:
        known = self.state.organisations.get(organisation)
        return known.weight if known else _DEFAULT_WEIGHT


def build_guard(
    record: TargetRecord,
    *,
    policies: Policies,
    weight_of: WeightOf,
    times: ServiceTimes,
    timeline: Timeline,
    rng: random.Random,
    on_queued: Callable[[SlotGuard], None],
) -> SlotGuard:
    """Build the guard of a target with the named limit and queue."""
    return SlotGuard(
        record,
        limit=LIMIT_POLICIES[policies.limit](_ceiling(record)),
        queue=QUEUE_ORDERS[policies.queue](weight_of),
        times=times,
        timeline=timeline,
        rng=rng,
        on_queued=on_queued,
    )


def _ceiling(record: TargetRecord) -> int:
    return min(record.slots, record.connections)
