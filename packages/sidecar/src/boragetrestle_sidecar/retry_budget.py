"""Bound repeated arrivals at the targets of each service."""

from collections import defaultdict
from collections.abc import Callable, Mapping

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.window_count import WindowCount

# Half of what the operators allow: the calls of a repeated run count as well,
# and their number is an estimate.
SPENT_SHARE = 0.5


class RetryBudget:
    """Allow repeats up to a share of the requests in a window.

    ``slack`` repeats a window are allowed besides; they are for all nodes
    together and divided among them.

    >>> budget = RetryBudget(ratio=0.2, slack=50, window=10)
    >>> budget.nodes = 5
    >>> sum(budget.spend({ServiceName('walks'): 1}) for _ in range(9))
    5
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window: float,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.ratio = ratio * SPENT_SHARE
        self.slack = slack * SPENT_SHARE
        self.clock = clock
        self.nodes = 1
        self.requests: defaultdict[ServiceName, WindowCount] = defaultdict(
            lambda: WindowCount(window),
        )
        self.repeats: defaultdict[ServiceName, WindowCount] = defaultdict(
            lambda: WindowCount(window),
        )

    def earn(self, service: ServiceName) -> None:
        """Count a fresh request."""
        self.requests[service].add(1, now=self.clock())

    def spend(self, costs: Mapping[ServiceName, float]) -> bool:
        """Take a repeat that causes runs at some services, or nothing."""
        now = self.clock()
        for service, cost in costs.items():
            if self._left(service, now) < cost:
                return False
        for service, cost in costs.items():
            self.repeats[service].add(cost, now=now)
        return True

    def _left(self, service: ServiceName, now: float) -> float:
        earned = self.ratio * self.requests[service].total(now)
        allowed = earned + self.slack / max(1, self.nodes)
        return allowed - self.repeats[service].total(now)
