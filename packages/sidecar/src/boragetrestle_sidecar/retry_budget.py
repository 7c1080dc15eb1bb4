"""Limit the retries that reach the targets of each service."""

from collections import defaultdict
from collections.abc import Callable, Mapping

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.window_count import SlidingWindowSum

# Half of what the operators allow: the onward calls of a retried run count as
# retries as well, and their number is an estimate.
USED_BUDGET_SHARE = 0.5


class RetryBudget:
    """Allow retries up to a share of the requests in a sliding window.

    ``slack`` further retries a window are allowed to all nodes together and
    divided evenly among them. ``window`` is in seconds.

    >>> budget = RetryBudget(ratio=0.2, slack=50, window=10)
    >>> budget.nodes = 5
    >>> sum(budget.try_spend({ServiceName('walks'): 1}) for _ in range(9))
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
        self.ratio = ratio * USED_BUDGET_SHARE
        self.slack = slack * USED_BUDGET_SHARE
        self.clock = clock
        self.nodes = 1
        self.requests: defaultdict[ServiceName, SlidingWindowSum] = defaultdict(
            lambda: SlidingWindowSum(window),
        )
        self.retries: defaultdict[ServiceName, SlidingWindowSum] = defaultdict(
            lambda: SlidingWindowSum(window),
        )

    def record_request(self, service: ServiceName) -> None:
        """Count a first attempt, which adds to the retries allowed."""
        self.requests[service].add(1, now=self.clock())

    def try_spend(self, costs: Mapping[ServiceName, float]) -> bool:
        """Charge a retry's runs to all its services, or none if over budget."""
        now = self.clock()
        for service, cost in costs.items():
            if self._remaining(service, now) < cost:
                return False
        for service, cost in costs.items():
            self.retries[service].add(cost, now=now)
        return True

    def _remaining(self, service: ServiceName, now: float) -> float:
        earned = self.ratio * self.requests[service].total(now)
        allowed = earned + self.slack / max(1, self.nodes)
        return allowed - self.retries[service].total(now)
