"""Rates of counted events, smoothed over a few intervals."""

from collections import Counter

LEAST_RATE = 0.01  # events a second below which a name is left out
RATE_WEIGHT = 0.4  # of the newest interval, so that the last second counts


class RateMeter:
    """Turn growing counters into rates.

    >>> meter = RateMeter()
    >>> meter.measure(Counter(walks=5), 0.5)
    >>> meter.shown()
    {'walks': 10.0}
    """

    def __init__(self) -> None:
        self.rates: dict[str, float] = {}
        self.seen: Counter[str] = Counter()

    def measure(self, counted: Counter[str], elapsed: float) -> None:
        """Take the counts after an interval of some seconds."""
        for name, count in counted.items():
            rate = (count - self.seen[name]) / elapsed
            known = self.rates.get(name, rate)
            self.rates[name] = known + RATE_WEIGHT * (rate - known)
        self.seen = Counter(counted)

    def shown(self) -> dict[str, float]:
        """Return the rates that are worth telling."""
        return {
            name: round(rate, 2)
            for name, rate in self.rates.items()
            if rate > LEAST_RATE
        }
