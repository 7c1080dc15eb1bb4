"""The default order: by class, then fair queueing by organisation."""

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_node.fair_queue import FairQueue
from boragetrestle_node.queue_order import WeightOf, queue_order
from boragetrestle_node.waiter import Waiter

_MAX_WAIT_SHARES: dict[CallClass, float] = {
    CallClass.CRITICAL: 0.8,
    CallClass.INTERACTIVE: 0.6,
    CallClass.BULK: 0.6,
}


@queue_order('class-fair')
class ClassFairQueue:
    """Run the most important class first and shed it last.

    Within a class, organisations share the slots by their weights.
    """

    def __init__(self, weight_of: WeightOf) -> None:
        self.classes = {
            call_class: FairQueue(weight_of) for call_class in CallClass
        }
        self.count = 0

    def __len__(self) -> int:
        """Return how many calls wait."""
        return self.count

    def max_wait_share(self, call_class: CallClass) -> float:
        """Return the share of its spare time that a call may wait."""
        return _MAX_WAIT_SHARES[call_class]

    def push(self, waiter: Waiter) -> None:
        """Add a call."""
        self.classes[waiter.call_class].push(waiter)
        self._recount()

    def pop(self, _now: float) -> Waiter | None:
        """Remove and return the call that runs next."""
        for queue in self.classes.values():
            if queue:
                return self._recount_after(queue.pop())
        return None

    def shed(self) -> Waiter | None:
        """Remove and return the call to shed next, or ``None``."""
        for queue in reversed(self.classes.values()):
            if queue:
                return self._recount_after(queue.shed())
        return None

    def remove(self, waiter: Waiter) -> None:
        """Remove a call that no longer waits."""
        self.classes[waiter.call_class].remove(waiter)
        self._recount()

    def _recount_after(self, waiter: Waiter | None) -> Waiter | None:
        self._recount()
        return waiter

    def _recount(self) -> None:
        self.count = sum(len(queue) for queue in self.classes.values())
