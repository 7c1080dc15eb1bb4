"""One class of waiting calls, shared fairly among organisations."""

from boragetrestle_kernel.ids import OrgId
from boragetrestle_node.arrival_queue import ArrivalQueue
from boragetrestle_node.queue_order import WeightOf
from boragetrestle_node.waiter import Waiter

_LEAST_COST_SECONDS = 0.001
_CREDIT_CALLS = 20


class FairQueue:
    """Run calls of organisations in proportion to their weights.

    Each organisation has a tag that grows by the cost of its calls over its
    weight; the smallest tag runs next. An organisation that had nothing to run
    keeps a bounded credit for it, so that one within its share makes up for its
    idle moments. Of one organisation the newest call runs first.
    """

    def __init__(self, weight_of: WeightOf) -> None:
        self.weight_of = weight_of
        self.queues: dict[OrgId, ArrivalQueue] = {}
        self.tags: dict[OrgId, float] = {}
        self.tag = 0.0

    def __len__(self) -> int:
        """Return how many calls wait."""
        return sum(len(queue) for queue in self.queues.values())

    def push(self, waiter: Waiter) -> None:
        """Add a call."""
        organisation = waiter.organisation
        queue = self.queues.get(organisation)
        if queue is None:
            queue = ArrivalQueue(self.weight_of)
            self.queues[organisation] = queue
            own_tag = self.tags.get(organisation, self.tag)
            lowest = self.tag - _CREDIT_CALLS * self._cost(waiter)
            self.tags[organisation] = max(own_tag, lowest)
        queue.push(waiter)

    def pop(self) -> Waiter | None:
        """Remove and return the call that runs next."""
        if not self.queues:
            return None
        organisation = min(self.queues, key=self.tags.__getitem__)
        waiter = self.queues[organisation].take_newest()
        assert waiter is not None
        self.tag = self.tags[organisation]
        self.tags[organisation] += self._cost(waiter)
        self._tidy(organisation)
        return waiter

    def shed(self) -> Waiter | None:
        """Remove the oldest call of who waits with most for its weight."""
        if not self.queues:
            return None
        organisation = max(self.queues, key=self._backlog)
        waiter = self.queues[organisation].take_oldest()
        self._tidy(organisation)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a call that no longer waits."""
        queue = self.queues.get(waiter.organisation)
        if queue is not None:
            queue.remove(waiter)
            self._tidy(waiter.organisation)

    def _cost(self, waiter: Waiter) -> float:
        weight = self.weight_of(waiter.organisation)
        return max(waiter.cost, _LEAST_COST_SECONDS) / weight

    def _backlog(self, organisation: OrgId) -> float:
        return len(self.queues[organisation]) / self.weight_of(organisation)

    def _tidy(self, organisation: OrgId) -> None:
        if not self.queues[organisation]:
            del self.queues[organisation]
        if not self.queues:
            self.tags.clear()
            self.tag = 0
