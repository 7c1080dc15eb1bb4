"""Sums of what nodes report, over a part of the fleet or all of it.

Their size depends on the number of routes and services, not of nodes.
"""

from collections.abc import Iterable
from typing import NamedTuple

from boragetrestle_sidecar.call_attribution import MIN_COMPLETED_RUNS
from boragetrestle_sidecar.node_status import NodeStatus, RouteCost


class ServiceLoad(NamedTuple):
    """Slots of a service's open guards, and seconds of runs that wait."""

    slots: float = 0.0
    waiting_seconds: float = 0.0


class CostSum(NamedTuple):
    """Sums of the costs that nodes report for one route.

    ``reports`` counts nodes and ``seconds`` adds their mean run times.
    ``weighted_seconds`` and ``calls`` add run times and onward calls a run,
    each times the ``runs`` behind them.
    """

    reports: int = 0
    seconds: float = 0.0
    runs: float = 0.0
    weighted_seconds: float = 0.0
    calls: dict[str, float] = {}


class FleetLoad(NamedTuple):
    """What a number of nodes report together.

    ``arrivals`` is callers' requests a second by route.
    """

    nodes: int = 0
    arrivals: dict[str, float] = {}
    services: dict[str, ServiceLoad] = {}
    costs: dict[str, CostSum] = {}


def load_of(status: NodeStatus) -> FleetLoad:
    """Return the load of a single node."""
    services: dict[str, ServiceLoad] = {}
    if status.is_open and status.service:
        waiting = status.waiting * status.run_seconds
        services[status.service] = ServiceLoad(status.limit, waiting)
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
