"""Find the requests that a target was serving when it crashed."""

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from boragetrestle_sidecar.suspects import fingerprint_of

if TYPE_CHECKING:
    from boragetrestle_sidecar.run_order import RunOrder

# A crash breaks all connections at once; the next connection is refused, or
# the target reports a new incarnation some seconds later.
CRASH_WINDOW_SECONDS = 8.0
_MAX_LOSSES = 500  # a target has fewer runs at once


class CrashWatch:
    """Keep runs whose connection broke until the target is known to be down.

    A broken connection alone is not a crash. ``on_crash`` is called with the
    fingerprints of the runs that were lost in a crash. Equal requests of many
    callers have the same one.
    """

    def __init__(self) -> None:
        self.losses: deque[tuple[float, str]] = deque(maxlen=_MAX_LOSSES)
        self.on_crash: Callable[[list[str]], None] | None = None

    def record_loss(self, order: 'RunOrder', now: float) -> None:
        """Record a run whose connection broke without an answer."""
        self.losses.append((now, fingerprint_of(order)))

    def forget_losses(self) -> None:
        """Forget lost runs, since the target has ended as announced."""
        self.losses.clear()

    def report_crash(self, now: float) -> None:
        """Report the runs recently lost, now that the target went down."""
        oldest = now - CRASH_WINDOW_SECONDS
        lost = dict.fromkeys(
            found for lost_at, found in self.losses if lost_at >= oldest
        )
        self.losses.clear()
        if lost and self.on_crash is not None:
            self.on_crash(list(lost))
