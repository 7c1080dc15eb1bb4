"""Gradual load increase for a target that has just started."""

_INITIAL_CEILING_SHARE = 0.25
_MIN_INITIAL_CALLS = 2
_WARM_UP_SECONDS = 10.0


class SlowStart:
    """Raise the bound on running calls with each answer and with time.

    Calls at a cold target end slowly, so its bound grows slowly; that of a warm
    target doubles with each round of answers. Time alone raises the bound by
    the whole ceiling within 10 s, so that the first calls after an idle period
    are not refused.

    >>> start = SlowStart(16, now=0)
    >>> start.bound_at(0), start.record_answers(8), start.bound_at(0)
    (4, None, 12)
    >>> start.bound_at(5)
    20
    """

    def __init__(self, ceiling: int, *, now: float) -> None:
        self.ceiling = ceiling
        self.started_at = now
        self.bound = max(
            _MIN_INITIAL_CALLS, int(ceiling * _INITIAL_CEILING_SHARE)
        )

    def record_answers(self, calls: int) -> None:
        """Raise the bound by the number of answered calls."""
        self.bound += calls

    def bound_at(self, now: float) -> int:
        """Return the calls that may run at a time (seconds on trio's clock)."""
        warm_up_share = (now - self.started_at) / _WARM_UP_SECONDS
        return self.bound + int(self.ceiling * warm_up_share)
