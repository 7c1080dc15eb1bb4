"""The guards of the targets beside a node."""

import random
from collections.abc import Mapping

import boragetrestle_node.arrival_queue  # noqa: F401
import boragetrestle_node.fixed_limit  # noqa: F401
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import OrgId, ServiceName, TargetId
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.limit_policy import LIMIT_POLICIES
from boragetrestle_node.policies import Policies
from boragetrestle_node.queue_order import QUEUE_ORDERS
from boragetrestle_node.slot_guard import SlotGuard

_DEFAULT_WEIGHT = 1.0


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
    ) -> None:
        self.own = own
        self.state = state
        self.policies = policies
        self.rng = rng
        self.by_target: dict[TargetId, SlotGuard] = {}

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
            guard = self._build(record)
            self.by_target[record.target] = guard
        guard.target = record
        guard.policy.ceiling = _ceiling(record)
        return guard

    def _build(self, record: TargetRecord) -> SlotGuard:
        build_limit = LIMIT_POLICIES[self.policies.limit]
        build_queue = QUEUE_ORDERS[self.policies.queue]
        return SlotGuard(
            record,
            limit=build_limit(_ceiling(record)),
            queue=build_queue(self._weight),
            rng=self.rng,
        )

    def _weight(self, organisation: OrgId) -> float:
        known = self.state.organisations.get(organisation)
        return known.weight if known else _DEFAULT_WEIGHT


def _ceiling(record: TargetRecord) -> int:
    return min(record.slots, record.connections)
