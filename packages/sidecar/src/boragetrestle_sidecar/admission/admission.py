"""Limit at the entry what each route admits, by capacity in the call graph.

A request that a service further down the call graph would have to refuse is
refused before any work is done for it.
"""

import math
import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_sidecar.admission.admission_plan import (
    RouteDemand,
    plan_admission,
)
from boragetrestle_sidecar.admission.admitted_rate import (
    MIN_BURST_REQUESTS,
    AdmittedRate,
)
from boragetrestle_sidecar.admission.call_graph import CallGraph
from boragetrestle_sidecar.admission.caller_return import (
    CallerTime,
    return_when_capacity_is_back,
    return_within_demand_swings,
)
from boragetrestle_sidecar.fleet_load import FleetLoad
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.entry_request import EntryRequest

PLANNED_SLOT_SHARE = 0.97  # the rest absorbs bursts of arrivals
# The plan leaves slots free to serve queued runs within this time.
QUEUE_DRAIN_SECONDS = 0.5
MIN_PLANNED_SLOT_SHARE = 0.1  # of slots, however much work is queued
# Share of arrivals admitted even when a service has no capacity left, so that
# its recovery shows.
MIN_ADMITTED_SCALE = 0.02
# Runs take up to twice as long while a service recovers.
RUN_TIME_MARGIN = 2.0
# A request is held until there is capacity again at most for this share of the
# time until its goal or its end, whichever is first.
MAX_HOLD_SHARE = 0.5
# Held requests start over this share of that time once there is capacity.
HOLD_SPREAD_SHARE = 0.2
# Part of a route's rate that is divided evenly among the entries, as callers
# move between them; the rest is divided by the arrivals at each entry.
EVEN_ARRIVALS_SHARE = 0.2


class Admission:
    """Admit requests at the rate planned for each route at this entry.

    ``chance`` is a random number generator; ``own_arrivals`` holds the callers'
    requests a second that come to this entry, by route. ``seconds_until_warm``
    returns how long all targets of a service stay cold.
    """

    def __init__(
        self,
        chance: random.Random,
        log: 'DecisionLog',
        *,
        seconds_until_warm: Callable[[str], float] = lambda _service: 0.0,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.chance = chance
        self.log = log
        self.own_arrivals: dict[str, float] = {}
        self.clock = clock
        self.admitted_rates: dict[str, AdmittedRate] = {}
        self.call_graph = CallGraph(())
        self.admitted_shares: dict[str, float] = {}
        self.seconds_until_warm = seconds_until_warm
        self.total = FleetLoad()
        self.planned_at = -math.inf
        # When services that lack most of their slots have them again.
        self.capacity_back_at: dict[ServiceName, float] = {}

    @property
    def has_planned(self) -> bool:
        """Whether the capacity of the fleet is known."""
        return math.isfinite(self.planned_at)

    def configure(self, configuration: 'Configuration') -> None:
        """Use the routes of a new configuration, keeping measured costs."""
        costs = self.call_graph.costs.values()
        self.call_graph = CallGraph(configuration.routes)
        routes = self.call_graph.routes
        self.call_graph.add_missing_costs(
            cost for cost in costs if cost.route in routes
        )

    def admit_or_retry_after(self, request: 'EntryRequest') -> float:
        """Admit a request and return 0, else the seconds until a retry.

        Onward calls (made by targets while they serve a call) are always
        admitted.
        """
        route = request.route
        if not route.needs_key:
            return 0.0
        admitted = self.admitted_rates.get(route.name)
        if admitted is None:
            if self.has_planned or not self.seconds_until_capacity(request):
                return 0.0
        elif admitted.take_token(self.clock()):
            return 0.0
        return self.retry_after(request)

    def seconds_to_hold(self, request: 'EntryRequest') -> float:
        """Return how long to hold a request instead of refusing it, or 0.

        It is held only if there is time to serve it afterwards.
        """
        expected_in = self.seconds_until_capacity(request)
        left = min(request.expires_at, request.goal_at) - self.clock()
        if not 0 < expected_in <= left * MAX_HOLD_SHARE:
            return 0.0
        spread = self.chance.uniform(0.0, HOLD_SPREAD_SHARE)
        return expected_in + spread * left

    def return_token(self, request: 'EntryRequest') -> None:
        """Return the token of an admitted request that won't be sent."""
        admitted = self.admitted_rates.get(request.route.name)
        if admitted is not None:
            admitted.return_token()

    def retry_after(self, request: 'EntryRequest') -> float:
        """Return the seconds until a refused caller should return."""
        now = self.clock()
        run_seconds = self.call_graph.run_seconds_of(request.route.name)
        caller = CallerTime(
            left=request.caller_expires_at - now,
            until_last_start=(
                request.goal_at - now - run_seconds * RUN_TIME_MARGIN
            ),
        )
        expected_in = self.seconds_until_capacity(request)
        if expected_in:
            return return_when_capacity_is_back(
                caller, expected_in, self.chance
            )
        return return_within_demand_swings(caller, self.chance)

    def retry_after_start(self, service: ServiceName, left: float) -> float:
        """Return the seconds until a retry at a node without a configuration.

        They are 0 unless all known targets of ``service`` are cold. ``left`` is
        the caller's remaining time.
        """
        expected_in = self.seconds_until_warm(service)
        if not expected_in:
            return 0.0
        caller = CallerTime(left, until_last_start=0.0)
        return return_when_capacity_is_back(caller, expected_in, self.chance)

    def seconds_until_capacity(self, request: 'EntryRequest') -> float:
        """Return when all services that a request needs have their slots.

        It is 0 if none lacks most of its slots for a known time. Before the
        first plan, services whose targets are all cold count as such.
        """
        if self.has_planned and not self.capacity_back_at:
            return 0.0
        needed = {
            request.service,
            *self.call_graph.usage_of(request.route.name),
        }
        return max(self._seconds_until_slots(service) for service in needed)

    def _seconds_until_slots(self, service: ServiceName) -> float:
        if not self.has_planned:
            return self.seconds_until_warm(service)
        back_at = self.capacity_back_at.get(service)
        return max(0.0, back_at - self.clock()) if back_at else 0.0

    def retry_costs(
        self,
        request: 'EntryRequest',
    ) -> Mapping[ServiceName, float]:
        """Return the runs that a retry of a request causes at each service."""
        usage = self.call_graph.usage_of(request.route.name)
        costs = {service: used.runs for service, used in usage.items()}
        return costs or {request.service: 1.0}

    def refresh(self) -> None:
        """Plan again if slots are back that the last plan did not have."""
        now = self.clock()
        if any(back_at <= now for back_at in self.capacity_back_at.values()):
            # Held requests find a first burst of tokens.
            self.admitted_rates.clear()
            self.plan(self.total.after(now - self.planned_at))

    def plan(self, total: FleetLoad) -> None:
        """Recompute the admitted rates from the total of all nodes' loads."""
        self.call_graph.update_costs(total.costs)
        now = self.clock()
        self.total = total
        self.planned_at = now
        capacity = _capacity(total)
        self.capacity_back_at = {
            ServiceName(service): now + load.returning.seconds
            for service, load in total.services.items()
            if load.is_returning
        }
        demands = [
            self._demand(route, rate)
            for route, rate in total.arrivals.items()
            if route in self.call_graph.routes
        ]
        scales = plan_admission(demands, capacity)
        self.admitted_shares = {
            route: min(1.0, scale) for route, scale in scales.items()
        }
        self._update_admitted_rates(scales, total)
        self.log.write_limited(
            'admission-planned',
            shares={
                route: round(share, 3)
                for route, share in self.admitted_shares.items()
                if share < 1
            },
            arrivals=total.arrivals,
            capacity=capacity,
            usage={demand.route: demand.slot_seconds for demand in demands},
            back_in={
                service: load.returning.seconds
                for service, load in total.services.items()
                if load.is_returning
            },
            nodes=total.nodes,
        )

    def _update_admitted_rates(
        self,
        scales: Mapping[str, float],
        total: FleetLoad,
    ) -> None:
        """Set this entry's rates to its part of those of all entries."""
        now = self.clock()
        known = self.admitted_rates
        self.admitted_rates = {}
        for route, scale in scales.items():
            if math.isfinite(scale):
                even = total.arrivals.get(route, 0.0) / max(1, total.nodes)
                own = self.own_arrivals.get(route, 0.0)
                part = (
                    EVEN_ARRIVALS_SHARE * even + (1 - EVEN_ARRIVALS_SHARE) * own
                )
                rate = max(scale, MIN_ADMITTED_SCALE) * part
                admitted = known.get(route) or AdmittedRate(
                    rate, now, tokens=MIN_BURST_REQUESTS * min(1.0, scale)
                )
                admitted.set_rate(rate, now)
                self.admitted_rates[route] = admitted

    def _demand(self, route: str, rate: float) -> RouteDemand:
        policy = self.call_graph.routes[route]  # type: ignore[index]
        usage = self.call_graph.usage_of(route)
        seconds = {
            service: used.slot_seconds for service, used in usage.items()
        }
        return RouteDemand(route, policy.priority, rate, seconds)


def _capacity(total: FleetLoad) -> dict[ServiceName, float]:
    """Return the slots that new requests may fill, by service."""
    return {
        ServiceName(service): max(
            load.slots * MIN_PLANNED_SLOT_SHARE,
            load.slots * PLANNED_SLOT_SHARE
            - load.waiting_seconds / QUEUE_DRAIN_SECONDS,
        )
        for service, load in total.services.items()
    }
