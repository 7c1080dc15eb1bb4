"""A queue that limits the wait of calls when a backlog persists."""

import trio

from boragetrestle_node.arrival_queue import ArrivalQueue
from boragetrestle_node.queue_order import WeightOf, queue_order
from boragetrestle_node.waiter import Waiter, WaiterState

_INTERVAL_SECONDS = 0.1
_STANDING_MAX_WAIT_SECONDS = 0.02


@queue_order('controlled-delay')
class ControlledDelayQueue(ArrivalQueue):
    """Run the oldest call next, with a bound on its wait.

    The bound is one interval if the queue was empty within that interval. It
    is much shorter while the backlog persists (a standing queue).
    """

    def __init__(self, weight_of: WeightOf) -> None:
        super().__init__(weight_of)
        self.last_empty_at = trio.current_time()

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the call that runs next; shed overdue ones."""
        is_standing = now - self.last_empty_at > _INTERVAL_SECONDS
        max_wait = (
            _STANDING_MAX_WAIT_SECONDS if is_standing else _INTERVAL_SECONDS
        )
        waiter = self.pop_oldest()
        while waiter is not None and now - waiter.queued_at > max_wait:
            waiter.decide(WaiterState.SHED)
            waiter = self.pop_oldest()
        if not self.waiters:
            self.last_empty_at = now
        return waiter

    def shed(self) -> Waiter | None:
        """Remove and return the call to shed next, or ``None``."""
        return self.pop_newest()
