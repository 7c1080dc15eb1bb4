"""Measure how many calls a second an organisation makes at a node."""

from math import exp

_TIME_CONSTANT_SECONDS = 1.0
_MAX_GAP_CALLS = 3.0


class DemandMeter:
    """Average arrivals with exponential decay, and notice when they end.

    >>> meter = DemandMeter(0)
    >>> for place in range(50):
    ...     meter.count_call(place * 0.1)
    >>> round(meter.rate(4.9)), round(meter.rate(20), 2)
    (10, 0.0)
    """

    __slots__ = ('average', 'last_at')

    def __init__(self, now: float) -> None:
        self.average = 0.0
        self.last_at = now

    def count_call(self, now: float) -> None:
        """Count a call."""
        decay = exp((self.last_at - now) / _TIME_CONSTANT_SECONDS)
        self.average = self.average * decay + 1 / _TIME_CONSTANT_SECONDS
        self.last_at = now

    def rate(self, now: float) -> float:
        """Return calls a second.

        A gap in which several calls were due limits the rate before the average
        decays.
        """
        gap = now - self.last_at
        average = self.average * exp(-gap / _TIME_CONSTANT_SECONDS)
        return min(average, _MAX_GAP_CALLS / gap) if gap > 0 else average
