"""Compute what a request costs at each service that it causes runs at."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_sidecar.call_attribution import MIN_COMPLETED_RUNS
from boragetrestle_sidecar.fleet_load import CostSum
from boragetrestle_sidecar.node_status import RouteCost
from boragetrestle_sidecar.route_policy import RoutePolicy

MAX_DEPTH = 14  # of calls; as deep as the call graphs that operators use
# Guards report mean run times over their last 20 runs, which vary from one plan
# to the next. At four plans a second this smooths them over about a second.
NEWEST_RUN_TIME_WEIGHT = 0.2


class Usage(NamedTuple):
    """Runs and slot-seconds that one request causes at a service."""

    runs: float
    slot_seconds: float


class CallGraph:
    """Costs of runs, as measured by nodes, for the configured routes."""

    def __init__(self, routes: Iterable[RoutePolicy]) -> None:
        self.routes = {route.name: route for route in routes}
        self.costs: dict[str, RouteCost] = {}
        self.cached_usage: dict[str, dict[ServiceName, Usage]] = {}

    def update_costs(self, sums: Mapping[str, CostSum]) -> None:
        """Update each route's cost to the mean of what the nodes report.

        Routes that no node reports keep their last known cost.
        """
        for route, reported in sums.items():
            known = self.costs.get(route)
            self.costs[route] = _mean_cost(route, reported, known)
        self.cached_usage.clear()

    def add_missing_costs(self, costs: Iterable[RouteCost]) -> None:
        """Add costs from an earlier time for routes without measured ones."""
        for cost in costs:
            known = self.costs.get(cost.route)
            if known is None or known.runs < MIN_COMPLETED_RUNS:
                self.costs[cost.route] = cost
        self.cached_usage.clear()

    def run_seconds_of(self, route: str) -> float:
        """Return the mean time of a run on a route, 0 if it is unknown."""
        cost = self.costs.get(route)
        return cost.run_seconds if cost else 0.0

    def usage_of(self, route: str) -> Mapping[ServiceName, Usage]:
        """Return what one request on a route causes at each service."""
        usage = self.cached_usage.get(route)
        if usage is None:
            usage = {}
            self._add_usage(route, 1.0, usage, MAX_DEPTH)
            self.cached_usage[route] = usage
        return usage

    def _add_usage(
        self,
        route: str,
        runs: float,
        usage: dict[ServiceName, Usage],
        depth: int,
    ) -> None:
        policy = self.routes.get(route)  # type: ignore[call-overload]
        cost = self.costs.get(route)
        if policy is None or cost is None or not depth:
            return
        total = sum(share.weight for share in policy.shares) or 1.0
        for share in policy.shares:
            known = usage.get(share.service, Usage(0.0, 0.0))
            part = runs * share.weight / total
            usage[share.service] = Usage(
                known.runs + part,
                known.slot_seconds + part * cost.run_seconds,
            )
        for called, count in cost.calls.items():
            self._add_usage(called, runs * count, usage, depth - 1)


def _mean_cost(
    route: str,
    reported: CostSum,
    known: RouteCost | None,
) -> RouteCost:
    """Return the mean of nodes' costs, weighted by their observed runs.

    The last ``known`` cost stays if the reports rest on too few runs.
    """
    runs = reported.runs
    if known is not None and runs < MIN_COMPLETED_RUNS <= known.runs:
        return known
    if not runs:
        seconds = reported.seconds / max(1, reported.reports)
        return RouteCost(route, {}, seconds, 0.0)
    calls = {called: count / runs for called, count in reported.calls.items()}
    seconds = reported.weighted_seconds / runs
    if known is not None:
        seconds = known.run_seconds + NEWEST_RUN_TIME_WEIGHT * (
            seconds - known.run_seconds
        )
    return RouteCost(route, calls, seconds, runs)
