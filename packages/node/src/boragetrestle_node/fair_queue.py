"""Start-time fair queueing of the calls of one class."""

from boragetrestle_kernel.ids import OrgId
from boragetrestle_node.arrival_queue import ArrivalQueue
from boragetrestle_node.queue_order import WeightOf
from boragetrestle_node.waiter import Waiter

_MIN_COST_SECONDS = 0.001
_MAX_CREDIT_CALLS = 20


class FairQueue:
    """Run calls of organisations in proportion to their weights.

    Each organisation (customer) has a start tag. Each call that runs raises it
    by the cost of the call divided by the weight, and the organisation with the
    smallest tag runs next. An idle organisation keeps a bounded credit, so that
    one that stays within its share catches up after a pause. Of one
    organisation the newest call runs first.
    """

    def __init__(self, weight_of: WeightOf) -> None:
        self.weight_of = weight_of
        self.queues: dict[OrgId, ArrivalQueue] = {}
        self.start_tags: dict[OrgId, float] = {}
        self.virtual_time = 0.0

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
            start_tag = self.start_tags.get(organisation, self.virtual_time)
            min_start_tag = self.virtual_time - _MAX_CREDIT_CALLS * self._cost(
                waiter
            )
            self.start_tags[organisation] = max(start_tag, min_start_tag)
        queue.push(waiter)

    def pop(self) -> Waiter | None:
        """Remove and return the call that runs next."""
        if not self.queues:
            return None
        organisation = min(self.queues, key=self.start_tags.__getitem__)
        waiter = self.queues[organisation].pop_newest()
        assert waiter is not None
        self.virtual_time = self.start_tags[organisation]
        self.start_tags[organisation] += self._cost(waiter)
        self._drop_if_empty(organisation)
        return waiter

    def shed(self) -> Waiter | None:
        """Remove the oldest call of the largest backlog relative to weight."""
        if not self.queues:
            return None
        organisation = max(self.queues, key=self._backlog)
        waiter = self.queues[organisation].pop_oldest()
        self._drop_if_empty(organisation)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a call that no longer waits."""
        queue = self.queues.get(waiter.organisation)
        if queue is not None:
            queue.remove(waiter)
            self._drop_if_empty(waiter.organisation)

    def _cost(self, waiter: Waiter) -> float:
        weight = self.weight_of(waiter.organisation)
        return max(waiter.cost, _MIN_COST_SECONDS) / weight

    def _backlog(self, organisation: OrgId) -> float:
        return len(self.queues[organisation]) / self.weight_of(organisation)

    def _drop_if_empty(self, organisation: OrgId) -> None:
        if not self.queues[organisation]:
            del self.queues[organisation]
        if not self.queues:
            self.start_tags.clear()
            self.virtual_time = 0
