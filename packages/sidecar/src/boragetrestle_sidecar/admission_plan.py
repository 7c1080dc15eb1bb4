"""Divide scarce slots among routes.

The load this answers: callers ask for more than some service deep in the call
graph can run. Whatever is refused there wastes the work above it, so the share
of requests that fits is worked out at the entry, more urgent routes first.
"""

import math
from collections.abc import Iterable, Mapping
from itertools import groupby
from typing import NamedTuple

from boragetrestle_kernel.ids import ServiceName

# Of what a group of routes asks of a service: cutting a route with less would
# refuse its callers for nothing, and costs are learnt with some noise.
TRACE_SHARE = 0.05


class RouteDemand(NamedTuple):
    """What callers ask of a route.

    ``arrivals`` is requests a second; ``slot_seconds`` what one of them costs
    at each service.
    """

    route: str
    priority: int
    arrivals: float
    slot_seconds: Mapping[ServiceName, float]

    def asks_of(self, service: ServiceName) -> float:
        """Return the slot-seconds a second that are asked of a service."""
        return self.arrivals * self.slot_seconds.get(service, 0.0)

    def weighs_on(self, service: ServiceName, asked: float) -> bool:
        """Return whether cutting this route would relieve a service."""
        return self.asks_of(service) > asked * TRACE_SHARE


def plan_admission(
    demands: Iterable[RouteDemand],
    capacity: Mapping[ServiceName, float],
) -> dict[str, float]:
    """Return how many times each route's arrivals fit.

    ``capacity`` is slot-seconds a second by service; a service that is not in
    it has no slots. Routes of one priority that need the same service get the
    same scale. Below 1 it is the share that fits; above, how far the arrivals
    may grow before they are too many.

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
        wanted = _wanted(members)
        for demand in members:
            scale = min(
                (
                    _fitting_scale(asked, left.get(service, 0.0))
                    for service, asked in wanted.items()
                    if demand.weighs_on(service, asked)
                ),
                default=math.inf,
            )
            scales[demand.route] = scale
            _fill(left, demand, min(1.0, scale))
    return scales


def _fill(
    left: dict[ServiceName, float],
    demand: RouteDemand,
    share: float,
) -> None:
    """Take the room of what is admitted."""
    for service in left.keys() & demand.slot_seconds.keys():
        left[service] -= demand.asks_of(service) * share


def _wanted(demands: list[RouteDemand]) -> dict[ServiceName, float]:
    """Return the slot-seconds a second that some routes ask of services."""
    wanted: dict[ServiceName, float] = {}
    for demand in demands:
        for service in demand.slot_seconds:
            asked = demand.asks_of(service)
            wanted[service] = wanted.get(service, 0.0) + asked
    return wanted


def _fitting_scale(asked: float, room: float) -> float:
    if asked <= 0:
        return math.inf
    return max(0.0, room / asked)


def _priority(demand: RouteDemand) -> int:
    return demand.priority
