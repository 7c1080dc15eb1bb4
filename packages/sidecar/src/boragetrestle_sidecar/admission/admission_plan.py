"""Divide the slots of overloaded services among routes.

A slot is the right to run one call at a target (back end). When callers ask
for more than some service in the call graph can run, a refusal there wastes
the work already done by the services above it. The share of requests that fits
is therefore computed at the entry, more urgent routes first.
"""

import math
from collections.abc import Iterable, Mapping
from itertools import groupby
from typing import NamedTuple

from boragetrestle_kernel.ids import ServiceName

# Routes with less than this share of their priority group's demand for a
# service are not limited because of it: that would free almost no slots, and
# the measured costs are noisy.
NEGLIGIBLE_DEMAND_SHARE = 0.05


class RouteDemand(NamedTuple):
    """The requests that arrive for a route and what each one costs.

    ``arrivals`` is requests a second; ``slot_seconds`` how long one of them
    occupies slots at each service. A lower ``priority`` is more urgent.
    """

    route: str
    priority: int
    arrivals: float
    slot_seconds: Mapping[ServiceName, float]

    def slot_demand_at(self, service: ServiceName) -> float:
        """Return the slot-seconds a second that the route needs there."""
        return self.arrivals * self.slot_seconds.get(service, 0.0)

    def is_significant_at(
        self, service: ServiceName, total_demand: float
    ) -> bool:
        """Return whether limiting this route would relieve a service."""
        return (
            self.slot_demand_at(service)
            > total_demand * NEGLIGIBLE_DEMAND_SHARE
        )


def plan_admission(
    demands: Iterable[RouteDemand],
    capacity: Mapping[ServiceName, float],
) -> dict[str, float]:
    """Return for each route by what factor its arrivals fit.

    ``capacity`` is slot-seconds a second by service; a service that is not in
    it has no slots. Routes of one priority that need the same service get the
    same factor. Below 1 it is the share of the arrivals that fits; above 1, how
    far they may grow before they exceed the capacity.

    >>> walks = RouteDemand('walks', 1, 10, {ServiceName('seats'): 0.5})
    >>> gates = RouteDemand('gates', 0, 10, {ServiceName('seats'): 0.1})
    >>> plan_admission([walks, gates], {ServiceName('seats'): 3.5})
    {'gates': 3.5, 'walks': 0.5}
    """
    left = dict(capacity)
    scales: dict[str, float] = {}
    ranked = sorted(demands, key=_priority)
    for _priority_value, group in groupby(ranked, key=_priority):
        members = list(group)
        demanded = _total_slot_demand(members)
        for demand in members:
            scale = min(
                (
                    _fitting_scale(total_demand, left.get(service, 0.0))
                    for service, total_demand in demanded.items()
                    if demand.is_significant_at(service, total_demand)
                ),
                default=math.inf,
            )
            scales[demand.route] = scale
            _reserve_capacity(left, demand, min(1.0, scale))
    return scales


def _reserve_capacity(
    left: dict[ServiceName, float],
    demand: RouteDemand,
    share: float,
) -> None:
    """Subtract the admitted share of a demand from the capacity left."""
    for service in left.keys() & demand.slot_seconds.keys():
        left[service] -= demand.slot_demand_at(service) * share


def _total_slot_demand(demands: list[RouteDemand]) -> dict[ServiceName, float]:
    """Return the slot-seconds a second that routes need, by service."""
    demanded: dict[ServiceName, float] = {}
    for demand in demands:
        for service in demand.slot_seconds:
            total_demand = demand.slot_demand_at(service)
            demanded[service] = demanded.get(service, 0.0) + total_demand
    return demanded


def _fitting_scale(total_demand: float, room: float) -> float:
    if total_demand <= 0:
        return math.inf
    return max(0.0, room / total_demand)


def _priority(demand: RouteDemand) -> int:
    return demand.priority
