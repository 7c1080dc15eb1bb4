"""Refuse at the entry what a service deeper down would have to refuse."""

import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_sidecar.admission_plan import RouteDemand, plan_admission
from boragetrestle_sidecar.admitted_rate import AdmittedRate
from boragetrestle_sidecar.call_graph import CallGraph
from boragetrestle_sidecar.node_status import NodeStatus
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.entry_request import EntryRequest

USED_SHARE = 0.97  # of slots that the plan fills: arrivals come in clumps
# What waits in queues is worked off in this time, beside what is admitted.
DRAIN_SECONDS = 0.5
LEAST_SHARE = 0.1  # of slots, planned for however short they are
# Of the arrivals, admitted however short a service is, to see it recover.
LEAST_SCALE = 0.02
# Of a route's rate, divided evenly among the entries: callers move between
# them; the rest goes by the arrivals that each has.
EVEN_SHARE = 0.2
# Callers wait for up to a third of the time that they have left.
LONGEST_WAIT_SHARE = 0.33
LEAST_SPREAD = 0.3  # of the longest wait: callers don't come back at once
LEAST_RETRY_SECONDS = 0.05  # a few times a mean run
LONGEST_RETRY_SECONDS = 1.2  # a few times the usual swing of demand


class Admission:
    """Hold the rate at which this entry admits each route's requests."""

    def __init__(
        self,
        chance: random.Random,
        log: 'DecisionLog',
        *,
        address: str = '',
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.chance = chance
        self.log = log
        self.address = address
        self.clock = clock
        self.admitted: dict[str, AdmittedRate] = {}
        self.graph = CallGraph(())
        self.shares: dict[str, float] = {}

    def configure(self, configuration: 'Configuration') -> None:
        """Take the routes of a new configuration."""
        costs = self.graph.costs.values()
        self.graph = CallGraph(configuration.routes)
        routes = self.graph.routes
        self.graph.assume(cost for cost in costs if cost.route in routes)

    def refuse_for(self, request: 'EntryRequest') -> float:
        """Return 0 for a request that is admitted, else when to come back.

        Onward calls of runs that are under way are always admitted.
        """
        route = request.route
        if not route.needs_key:
            return 0.0
        admitted = self.admitted.get(route.name)
        if admitted is None or admitted.take(self.clock()):
            return 0.0
        return self.retry_after(request.expires_at - request.arrived_at)

    def give_back(self, request: 'EntryRequest') -> None:
        """Take back what a request was admitted with; it won't be sent."""
        admitted = self.admitted.get(request.route.name)
        if admitted is not None:
            admitted.give_back()

    def retry_after(self, left: float) -> float:
        """Return when a refused caller may come back, spread at random."""
        longest = min(LONGEST_RETRY_SECONDS, left * LONGEST_WAIT_SHARE)
        spread = self.chance.uniform(LEAST_SPREAD, 1.0)
        return max(LEAST_RETRY_SECONDS, spread * longest)

    def repeat_costs(
        self,
        request: 'EntryRequest',
    ) -> Mapping[ServiceName, float]:
        """Return the runs that repeating a request causes at each service."""
        usage = self.graph.usage_of(request.route.name)
        costs = {service: used.runs for service, used in usage.items()}
        return costs or {request.service: 1.0}

    def plan(self, statuses: Iterable[NodeStatus]) -> None:
        """Work out the admitted rates anew from what all nodes report."""
        statuses = list(statuses)
        self.graph.learn(status.costs for status in statuses)
        capacity = self._capacity(statuses)
        arrivals: dict[str, float] = {}
        for status in statuses:
            for route, rate in status.arrivals.items():
                arrivals[route] = arrivals.get(route, 0.0) + rate
        demands = [
            self._demand(route, rate)
            for route, rate in arrivals.items()
            if route in self.graph.routes
        ]
        scales = plan_admission(demands, capacity)
        self.shares = {
            route: min(1.0, scale) for route, scale in scales.items()
        }
        self._admit(scales, statuses)
        self.log.line(
            'admission-planned',
            shares={
                route: round(share, 3)
                for route, share in self.shares.items()
                if share < 1
            },
            arrivals=arrivals,
            capacity=capacity,
            usage={demand.route: demand.slot_seconds for demand in demands},
            nodes=len(statuses),
        )

    def _admit(
        self,
        scales: Mapping[str, float],
        statuses: list[NodeStatus],
    ) -> None:
        """Set the rates of this entry to its part of the fleet's."""
        now = self.clock()
        known = self.admitted
        self.admitted = {}
        for route, scale in scales.items():
            if math.isfinite(scale):
                part = self._own_part(route, statuses)
                rate = max(scale, LEAST_SCALE) * part
                admitted = known.get(route) or AdmittedRate(rate, now)
                admitted.set_rate(rate, now)
                self.admitted[route] = admitted

    def _own_part(self, route: str, statuses: list[NodeStatus]) -> float:
        """Return how much of a route's arrivals this entry plans for."""
        rates = {
            status.address: status.arrivals.get(route, 0.0)
            for status in statuses
        }
        even = sum(rates.values()) / len(rates)
        own = rates.get(self.address, even)
        return EVEN_SHARE * even + (1 - EVEN_SHARE) * own

    def _demand(self, route: str, rate: float) -> RouteDemand:
        policy = self.graph.routes[route]  # type: ignore[index]
        usage = self.graph.usage_of(route)
        seconds = {
            service: used.slot_seconds for service, used in usage.items()
        }
        return RouteDemand(route, policy.priority, rate, seconds)

    def _capacity(
        self,
        statuses: list[NodeStatus],
    ) -> dict[ServiceName, float]:
        """Return the slots that new requests may fill, by service."""
        slots: dict[ServiceName, float] = {}
        queued: dict[ServiceName, float] = {}
        for status in statuses:
            if status.is_open:
                service = ServiceName(status.service)
                slots[service] = slots.get(service, 0.0) + status.limit
                waiting = status.waiting * status.run_seconds
                queued[service] = queued.get(service, 0.0) + waiting
        return {
            service: max(
                count * LEAST_SHARE,
                count * USED_SHARE - queued[service] / DRAIN_SECONDS,
            )
            for service, count in slots.items()
        }
