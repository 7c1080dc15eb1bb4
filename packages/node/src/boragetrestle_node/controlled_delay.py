"""A queue that drops calls early once it stands."""

import trio

from boragetrestle_node.arrival_queue import ArrivalQueue
from boragetrestle_node.queue_order import WeightOf, queue_order
from boragetrestle_node.waiter import Waiter, WaiterState

_INTERVAL_SECONDS = 0.1
_STANDING_WAIT_SECONDS = 0.02


@queue_order('controlled-delay')
class ControlledDelayQueue(ArrivalQueue):
    """Run the oldest call next, with a bound on its wait.

    The bound is an interval as long as the queue was empty within that
    interval, and much shorter while the queue stands.
    """

    def __init__(self, weight_of: WeightOf) -> None:
        super().__init__(weight_of)
        self.emptied_at = trio.current_time()

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the call that runs next; shed late ones."""
        is_standing = now - self.emptied_at > _INTERVAL_SECONDS
        longest = _STANDING_WAIT_SECONDS if is_standing else _INTERVAL_SECONDS
        waiter = self.take_oldest()
        while waiter is not None and now - waiter.queued_at > longest:
            waiter.decide(WaiterState.SHED)
            waiter = self.take_oldest()
        if not self.waiters:
            self.emptied_at = now
        return waiter

    def shed(self) -> Waiter | None:
        """Remove and return the call that is given up first."""
        return self.take_newest()
