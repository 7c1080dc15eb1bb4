"""Bound repeated arrivals at the targets of each service."""

from collections import defaultdict
from collections.abc import Mapping

from boragetrestle_kernel.ids import ServiceName

# Half of what the operators allow: the calls of a repeated run count as well.
SPENT_SHARE = 0.5


class RetryBudget:
    """Earn repeats by fresh requests, and spend them.

    A fresh request earns ``ratio`` of a repeat. The slack, which is for all
    nodes in one window, is divided among them and accrues over the window.

    >>> budget = RetryBudget(ratio=0.2, slack=50, window=10)
    >>> budget.resize(nodes=5, now=0)
    >>> budget.spend({ServiceName('walks'): 1}, now=1)
    True
    """

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio * SPENT_SHARE
        self.slack = slack * SPENT_SHARE
        self.window = window
        self.nodes = 1
        self.left: defaultdict[ServiceName, float] = defaultdict(self._most)
        self.updated_at = 0.0

    def resize(self, *, nodes: int, now: float) -> None:
        """Take the number of nodes that share the slack."""
        self.nodes = max(1, nodes)
        self._accrue(now)

    def earn(self, service: ServiceName) -> None:
        """Count a fresh request."""
        self.left[service] += self.ratio

    def spend(self, costs: Mapping[ServiceName, float], *, now: float) -> bool:
        """Take a repeat that causes runs at some services, or nothing."""
        self._accrue(now)
        if any(self.left[service] < cost for service, cost in costs.items()):
            return False
        for service, cost in costs.items():
            self.left[service] -= cost
        return True

    def _most(self) -> float:
        return self.slack / self.nodes

    def _accrue(self, now: float) -> None:
        elapsed = min(self.window, max(0.0, now - self.updated_at))
        self.updated_at = now
        gained = elapsed * self.slack / self.nodes / self.window
        for service, left in self.left.items():
            most = max(left, self._most())
            self.left[service] = min(most, left + gained)
