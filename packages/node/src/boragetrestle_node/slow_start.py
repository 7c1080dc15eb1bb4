"""A bound that lets a cold target take its load step by step."""

_FIRST_SHARE = 0.25
_LEAST_CALLS = 2


class SlowStart:
    """Raise a bound by one for each answered call.

    Calls at a cold target end slowly, so its bound grows slowly; that of a warm
    target doubles with each round of answers.

    >>> start = SlowStart(16)
    >>> start.bound, start.answered(8), start.bound
    (4, None, 12)
    """

    def __init__(self, ceiling: int) -> None:
        self.bound = max(_LEAST_CALLS, int(ceiling * _FIRST_SHARE))

    def answered(self, calls: int) -> None:
        """Take answered calls into account."""
        self.bound += calls
