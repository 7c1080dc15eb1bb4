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


class RouteDemand(NamedTuple):
    """What callers ask of a route.

    ``arrivals`` is requests a second; ``slot_seconds`` what one of them costs
    at each service.
    """

    route: str
    priority: int
    arrivals: float
    slot_seconds: Mapping[ServiceName, float]


def plan_admission(
    demands: Iterable[RouteDemand],
    capacity: Mapping[ServiceName, float],
) -> dict[str, float]:
    """Return how many times each route's arrivals fit.

    ``capacity`` is slot-seconds a second by service; what is not in it has no
    slots. Routes of one priority
    that need the same service get the same scale. Below 1 it is the share that
    fits; above, how far the arrivals may grow before they are too many.

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
        fits = _fitting_scales(members, left)
        for demand in members:
            scale = min(
                (fits[service] for service in demand.slot_seconds),
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
        taken = demand.arrivals * demand.slot_seconds[service] * share
        left[service] -= taken


def _fitting_scales(
    demands: list[RouteDemand],
    left: Mapping[ServiceName, float],
) -> dict[ServiceName, float]:
    wanted: dict[ServiceName, float] = {}
    for demand in demands:
        for service, seconds in demand.slot_seconds.items():
            asked = demand.arrivals * seconds
            wanted[service] = wanted.get(service, 0.0) + asked
    return {
        service: _fitting_scale(asked, left.get(service, 0.0))
        for service, asked in wanted.items()
    }


def _fitting_scale(asked: float, room: float) -> float:
    if asked <= 0:
        return math.inf
    return max(0.0, room / asked)


def _priority(demand: RouteDemand) -> int:
    return demand.priority
