"""Measure how many calls a second an organisation makes at a node."""

from math import exp

_MEMORY_SECONDS = 1.0
_GAP_CALLS = 3.0


class DemandMeter:
    """Average arrivals over about a second, and notice at once when they end.

    >>> meter = DemandMeter(0)
    >>> for place in range(50):
    ...     meter.note(place * 0.1)
    >>> round(meter.rate(4.9)), round(meter.rate(20), 2)
    (10, 0.0)
    """

    __slots__ = ('average', 'last_at')

    def __init__(self, now: float) -> None:
        self.average = 0.0
        self.last_at = now

    def note(self, now: float) -> None:
        """Count a call."""
        gone = exp((self.last_at - now) / _MEMORY_SECONDS)
        self.average = self.average * gone + 1 / _MEMORY_SECONDS
        self.last_at = now

    def rate(self, now: float) -> float:
        """Return calls a second.

        A gap in which several calls were due tells of less demand before the
        average does.
        """
        gap = now - self.last_at
        average = self.average * exp(-gap / _MEMORY_SECONDS)
        return min(average, _GAP_CALLS / gap) if gap > 0 else average
