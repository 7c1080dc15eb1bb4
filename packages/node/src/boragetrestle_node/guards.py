"""Create and look up the guards of the targets beside a node."""

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
from boragetrestle_node.guard_signal import GuardSignal
from boragetrestle_node.lease_message import (
    LeaseGrant,
    LeaseRecall,
    LeaseRequest,
)
from boragetrestle_node.limit_policy import LIMIT_POLICIES
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.policies import Policies
from boragetrestle_node.queue_order import QUEUE_ORDERS, WeightOf
from boragetrestle_node.service_times import ServiceTimes
from boragetrestle_node.slot_guard import SlotGuard

_DEFAULT_WEIGHT = 1.0
_SWEEP_INTERVAL_SECONDS = 0.05
_UNKNOWN_TARGET_GRANT = LeaseGrant(slots=0, seconds=0, pause=1)


class Guards:
    """Keep one guard for each target that this node announced.

    A guard enforces the concurrency limit of one target.
    ``own_targets`` holds the newest records of the targets beside this node.
    """

    def __init__(
        self,
        own_targets: Mapping[TargetId, TargetRecord],
        *,
        state: FleetState,
        policies: Policies,
        rng: random.Random,
        times: ServiceTimes,
        timeline: Timeline,
        links: PeerLinks,
    ) -> None:
        self.own_targets = own_targets
        self.state = state
        self.policies = policies
        self.rng = rng
        self.times = times
        self.timeline = timeline
        self.links = links
        self.by_target: dict[TargetId, SlotGuard] = {}
        self.calls_queued = trio.Event()
        links.on(LeaseRequest, self.handle_lease_request)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Grant the slots of expired leases to queued calls until cancelled."""
        task_status.started()
        while True:
            await self.calls_queued.wait()
            await trio.sleep(_SWEEP_INTERVAL_SECONDS)
            guards = list(self.by_target.values())
            for guard in guards:
                guard.start_queued_calls()
            if not any(guard.queue for guard in guards):
                self.calls_queued = trio.Event()

    async def handle_lease_request(
        self, node: NodeId, request: LeaseRequest
    ) -> LeaseGrant:
        """Answer a request to lease slots of a target beside this node."""
        await trio.lowlevel.checkpoint()
        record = self.own_targets.get(TargetId(request.target))
        if record is None:
            return _UNKNOWN_TARGET_GRANT
        return self.of_target(record).lender.handle_request(node, request)

    def of_service(self, service: ServiceName) -> SlotGuard:
        """Return the guard of the target that serves a service.

        Raises ``RefusedError`` if no target beside this node serves it.
        """
        for record in self.own_targets.values():
            if record.service == service:
                return self.of_target(record)
        raise RefusedError(Refusal(RefusalCode.NO_TARGET, retry_after=1))

    def of_target(self, record: TargetRecord) -> SlotGuard:
        """Return the guard of a target, updated to its declared capacity."""
        guard = self.by_target.get(record.target)
        if guard is None:
            guard = build_guard(
                record,
                policies=self.policies,
                weight_of=self._weight_of,
                times=self.times,
                timeline=self.timeline,
                rng=self.rng,
                on_queued=self._recall_leases,
            )
            self.by_target[record.target] = guard
        guard.target = record
        guard.policy.ceiling = _ceiling(record)
        return guard

    def signals(self) -> dict[TargetId, GuardSignal]:
        """Return the load of each target that has a guard."""
        return {
            target: guard.signal() for target, guard in self.by_target.items()
        }

    def _recall_leases(self, guard: SlotGuard) -> None:
        self.calls_queued.set()
        recall = LeaseRecall(guard.target.target)
        for address in guard.lender.book.mark_recalled():
            self.links.send(Address.parse(address), recall)

    def _weight_of(self, organisation: OrgId) -> float:
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
    """Build a guard with the limit and queue that the policies name."""
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
