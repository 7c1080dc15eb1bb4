"""Sums of what nodes report, over a part of the fleet or all of it.

Their size depends on the number of routes and services, not of nodes.
"""

from collections.abc import Iterable
from typing import NamedTuple

from boragetrestle_sidecar.call_attribution import MIN_COMPLETED_RUNS
from boragetrestle_sidecar.node_status import NodeStatus, RouteCost
from boragetrestle_sidecar.peer_numbers import Amount, Count
from boragetrestle_sidecar.returning_slots import (
    ReturningSlots,
    combine_returning,
)


class ServiceLoad(NamedTuple):
    """Slots of a service's open guards, and seconds of runs that wait.

    ``returning`` are slots that they do not have now but get back.

    >>> load = ServiceLoad(2.0, returning=ReturningSlots(20.0, 1.0))
    >>> load.after(0.5).slots, load.after(1.0).slots
    (2.0, 22.0)
    """

    slots: Amount = 0.0
    waiting_seconds: Amount = 0.0
    returning: ReturningSlots = ReturningSlots()

    @property
    def is_returning(self) -> bool:
        """Whether most of the slots are still to come back."""
        return self.returning.slots > self.slots

    def after(self, elapsed: float) -> 'ServiceLoad':
        """Return the load as expected after ``elapsed`` seconds."""
        if not self.returning.slots:
            return self
        returning = self.returning.after(elapsed)
        if returning.seconds:
            return self._replace(returning=returning)
        return ServiceLoad(self.slots + returning.slots, self.waiting_seconds)


class CostSum(NamedTuple):
    """Sums of the costs that nodes report for one route.

    ``reports`` counts nodes and ``seconds`` adds their mean run times.
    ``weighted_seconds`` and ``calls`` add run times and onward calls a run,
    each times the ``runs`` behind them.
    """

    reports: Count = 0
    seconds: Amount = 0.0
    runs: Amount = 0.0
    weighted_seconds: Amount = 0.0
    calls: dict[str, Amount] = {}


class FleetLoad(NamedTuple):
    """What a number of nodes report together.

    ``arrivals`` is callers' requests a second by route.
    """

    nodes: Count = 0
    arrivals: dict[str, Amount] = {}
    services: dict[str, ServiceLoad] = {}
    costs: dict[str, CostSum] = {}

    def after(self, elapsed: float) -> 'FleetLoad':
        """Return the load with the slots that are back after some seconds."""
        if not any(load.returning.slots for load in self.services.values()):
            return self
        return self._replace(
            services={
                service: load.after(elapsed)
                for service, load in self.services.items()
            }
        )


def load_of(status: NodeStatus) -> FleetLoad:
    """Return the load of a single node."""
    services: dict[str, ServiceLoad] = {}
    if status.is_open and status.service:
        waiting = status.waiting * status.run_seconds
        services[status.service] = ServiceLoad(
            status.limit, waiting, status.returning
        )
    return FleetLoad(
        nodes=1,
        arrivals=status.arrivals,
        services=services,
        costs={cost.route: _sum_of(cost) for cost in status.costs},
    )


def combine_loads(loads: Iterable[FleetLoad]) -> FleetLoad:
    """Add up loads.

    >>> one = FleetLoad(1, {'walks': 2.0}, {'seats': ServiceLoad(4.0)})
    >>> total = combine_loads([one, one])
    >>> total.nodes, total.arrivals, total.services['seats'].slots
    (2, {'walks': 4.0}, 8.0)
    """
    nodes = 0
    arrivals: dict[str, float] = {}
    services: dict[str, ServiceLoad] = {}
    costs: dict[str, CostSum] = {}
    for load in loads:
        nodes += load.nodes
        _add(arrivals, load.arrivals)
        for service, found in load.services.items():
            known = services.get(service, ServiceLoad())
            services[service] = ServiceLoad(
                round(known.slots + found.slots, 2),
                round(known.waiting_seconds + found.waiting_seconds, 3),
                combine_returning((known.returning, found.returning)),
            )
        for route, cost in load.costs.items():
            costs[route] = _add_costs(costs.get(route, CostSum()), cost)
    return FleetLoad(nodes, arrivals, services, costs)


def add_known_costs(
    load: FleetLoad,
    known: Iterable[RouteCost],
) -> FleetLoad:
    """Add the known costs of routes that too few runs were measured of."""
    missing = {
        cost.route: _sum_of(cost)
        for cost in known
        if load.costs.get(cost.route, CostSum()).runs < MIN_COMPLETED_RUNS
    }
    return load._replace(costs={**load.costs, **missing})


def _sum_of(cost: RouteCost) -> CostSum:
    return CostSum(
        1,
        cost.run_seconds,
        cost.runs,
        cost.run_seconds * cost.runs,
        {called: count * cost.runs for called, count in cost.calls.items()},
    )


def _add_costs(known: CostSum, more: CostSum) -> CostSum:
    calls = dict(known.calls)
    _add(calls, more.calls)
    return CostSum(
        known.reports + more.reports,
        known.seconds + more.seconds,
        known.runs + more.runs,
        known.weighted_seconds + more.weighted_seconds,
        calls,
    )


def _add(sums: dict[str, float], more: dict[str, float]) -> None:
    for name, amount in more.items():
        sums[name] = sums.get(name, 0.0) + amount
