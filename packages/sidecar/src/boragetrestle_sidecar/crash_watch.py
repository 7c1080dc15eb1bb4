"""Find the requests that were at a target when it crashed."""

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_sidecar.run_order import RunOrder

# A crash breaks all connections at once; the next connection is refused, or
# the target reports a new incarnation some seconds later.
CRASH_SECONDS = 8.0
_MAX_LOSSES = 500  # runs at a target at once are fewer


class CrashWatch:
    """Hold runs whose connection broke until the target is seen to be down.

    A connection that breaks alone is no crash.
    """

    def __init__(self) -> None:
        self.losses: deque[tuple[float, RunOrder]] = deque(maxlen=_MAX_LOSSES)
        self.tell: Callable[[list[RunOrder]], None] | None = None

    def lost(self, order: 'RunOrder', now: float) -> None:
        """Note a run whose connection broke without an answer."""
        self.losses.append((now, order))

    def target_restarted(self, now: float) -> None:
        """Tell of the runs that were at hand when the target went down."""
        oldest = now - CRASH_SECONDS
        orders = [order for lost_at, order in self.losses if lost_at >= oldest]
        self.losses.clear()
        if orders and self.tell is not None:
            self.tell(orders)
