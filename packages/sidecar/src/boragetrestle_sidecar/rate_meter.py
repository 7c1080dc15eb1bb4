"""Rates of counted events, as exponential moving averages."""

from collections import Counter

MIN_REPORTED_RATE = 0.01  # events a second; lower rates are left out
NEWEST_RATE_WEIGHT = 0.4  # averages over about the last second


class RateMeter:
    """Compute events a second from counters that only grow.

    >>> meter = RateMeter()
    >>> meter.update(Counter(walks=5), 0.5)
    >>> meter.reported_rates()
    {'walks': 10.0}
    """

    def __init__(self) -> None:
        self.rates: dict[str, float] = {}
        self.last_counts: Counter[str] = Counter()

    def update(self, counted: Counter[str], elapsed: float) -> None:
        """Update the rates from counts ``elapsed`` seconds after the last."""
        for name, count in counted.items():
            rate = (count - self.last_counts[name]) / elapsed
            known = self.rates.get(name, rate)
            self.rates[name] = known + NEWEST_RATE_WEIGHT * (rate - known)
        self.last_counts = Counter(counted)

    def reported_rates(self) -> dict[str, float]:
        """Return the rates that are high enough to report."""
        return {
            name: round(rate, 2)
            for name, rate in self.rates.items()
            if rate > MIN_REPORTED_RATE
        }
