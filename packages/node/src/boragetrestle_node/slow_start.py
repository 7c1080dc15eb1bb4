"""A bound that lets a cold target take its load step by step."""

_FIRST_SHARE = 0.25
_LEAST_CALLS = 2
_WARM_SECONDS = 10.0


class SlowStart:
    """Raise a bound by one for each answered call, and with time.

    Calls at a cold target end slowly, so its bound grows slowly; that of a warm
    target doubles with each round of answers. A target that has been up for 10 s
    without any call has its whole bound, so that the first calls after a lull
    are not refused.

    >>> start = SlowStart(16, now=0)
    >>> start.bound_at(0), start.answered(8), start.bound_at(0)
    (4, None, 12)
    >>> start.bound_at(5)
    20
    """

    def __init__(self, ceiling: int, *, now: float) -> None:
        self.ceiling = ceiling
        self.started_at = now
        self.bound = max(_LEAST_CALLS, int(ceiling * _FIRST_SHARE))

    def answered(self, calls: int) -> None:
        """Take answered calls into account."""
        self.bound += calls

    def bound_at(self, now: float) -> int:
        """Return the bound at a time in seconds."""
        warmth = (now - self.started_at) / _WARM_SECONDS
        return self.bound + int(self.ceiling * warmth)
