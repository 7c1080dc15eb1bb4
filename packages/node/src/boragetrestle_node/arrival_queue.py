"""Queue orders that depend only on the time of arrival."""

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_node.queue_order import WeightOf, queue_order
from boragetrestle_node.waiter import Waiter


class ArrivalQueue:
    """Hold calls in their order of arrival."""

    def __init__(self, _weight_of: WeightOf) -> None:
        # A dict keeps the order of insertion and removes in constant time.
        self.waiters: dict[Waiter, None] = {}

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self.waiters)

    def max_wait_share(self, _call_class: CallClass) -> float:
        """Return the share of its spare time that a call may wait."""
        return 1

    def push(self, waiter: Waiter) -> None:
        """Add a call."""
        self.waiters[waiter] = None

    def remove(self, waiter: Waiter) -> None:
        """Remove a call that no longer waits."""
        self.waiters.pop(waiter, None)

    def pop_oldest(self) -> Waiter | None:
        """Remove and return the call that has waited longest."""
        for waiter in self.waiters:
            del self.waiters[waiter]
            return waiter
        return None

    def pop_newest(self) -> Waiter | None:
        """Remove and return the call that arrived last."""
        return self.waiters.popitem()[0] if self.waiters else None


@queue_order('fifo')
class FifoQueue(ArrivalQueue):
    """Run the oldest call next; shed the newest when full."""

    def pop(self, _now: float) -> Waiter | None:
        """Remove and return the call that runs next."""
        return self.pop_oldest()

    def shed(self) -> Waiter | None:
        """Remove and return the call to shed next, or ``None``."""
        return self.pop_newest()


@queue_order('newest-first')
class NewestFirstQueue(ArrivalQueue):
    """Run the newest call next; shed the oldest when full."""

    def pop(self, _now: float) -> Waiter | None:
        """Remove and return the call that runs next."""
        return self.pop_newest()

    def shed(self) -> Waiter | None:
        """Remove and return the call to shed next, or ``None``."""
        return self.pop_oldest()
