"""Add up the loads of the nodes below this one and keep the fleet's total."""

from collections.abc import Callable
from typing import NamedTuple

from boragetrestle_sidecar.fleet_load import FleetLoad, combine_loads
from boragetrestle_sidecar.steady_clock import steady_now

# A child that has moved to another parent is counted twice until then.
CHILD_TTL_SECONDS = 1.6
# Without a newer total, admission goes on with the last rates that it planned.
TOTAL_TTL_SECONDS = 5.0
# A node that has just started plans once the total covers this share of the
# nodes, or after a time, since nodes may have been lost for good. A plan from a
# part of the fleet finds services without any slots and refuses their callers.
MIN_COVERED_SHARE = 0.8
MAX_WARM_UP_SECONDS = 3.0


class _ChildLoad(NamedTuple):
    load: FleetLoad
    received_at: float


class LoadAggregation:
    """The loads reported by the children of this node and the last total."""

    def __init__(self, *, clock: Callable[[], float] = steady_now) -> None:
        self.clock = clock
        self.started_at = clock()
        self.children: dict[str, _ChildLoad] = {}
        self.own = FleetLoad()
        self.total = FleetLoad()
        self.total_at = 0.0

    def record_child(self, address: str, load: FleetLoad) -> None:
        """Store what a child reports for itself and the nodes below it."""
        self.children[address] = _ChildLoad(load, self.clock())

    def remove_child(self, address: str) -> None:
        """Forget a child whose link was lost."""
        self.children.pop(address, None)

    def record_total(self, total: FleetLoad) -> None:
        """Store the total of the fleet."""
        self.total = total
        self.total_at = self.clock()

    def subtree(self) -> FleetLoad:
        """Return the load of this node and of those below it."""
        now = self.clock()
        oldest = now - CHILD_TTL_SECONDS
        for address, child in list(self.children.items()):
            if child.received_at < oldest:
                self.children.pop(address)
        return combine_loads([
            self.own,
            *(
                child.load.after(now - child.received_at)
                for child in self.children.values()
            ),
        ])

    def total_to_plan(self, members: int) -> FleetLoad | None:
        """Return the total if admission may be planned from it, else None."""
        now = self.clock()
        if not self.total.nodes or now - self.total_at > TOTAL_TTL_SECONDS:
            return None
        is_warm = now - self.started_at > MAX_WARM_UP_SECONDS
        if is_warm or self.total.nodes >= members * MIN_COVERED_SHARE:
            return self.total
        return None
