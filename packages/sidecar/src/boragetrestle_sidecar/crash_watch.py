"""Find the requests that a target was serving when it crashed."""

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_sidecar.run_order import RunOrder

# A crash breaks all connections at once; the next connection is refused, or
# the target reports a new incarnation some seconds later.
CRASH_WINDOW_SECONDS = 8.0
_MAX_LOSSES = 500  # a target has fewer runs at once


class CrashWatch:
    """Keep runs whose connection broke until the target is known to be down.

    A broken connection alone is not a crash. ``on_crash`` is called with the runs
    that were lost in a crash.
    """

    def __init__(self) -> None:
        self.losses: deque[tuple[float, RunOrder]] = deque(maxlen=_MAX_LOSSES)
        self.on_crash: Callable[[list[RunOrder]], None] | None = None

    def record_loss(self, order: 'RunOrder', now: float) -> None:
        """Record a run whose connection broke without an answer."""
        self.losses.append((now, order))

    def forget_losses(self) -> None:
        """Forget lost runs, since the target has ended as announced."""
        self.losses.clear()

    def report_crash(self, now: float) -> None:
        """Report the runs recently lost, now that the target went down."""
        oldest = now - CRASH_WINDOW_SECONDS
        orders = [order for lost_at, order in self.losses if lost_at >= oldest]
        self.losses.clear()
        if orders and self.on_crash is not None:
            self.on_crash(orders)
