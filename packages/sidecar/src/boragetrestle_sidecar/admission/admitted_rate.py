"""A token bucket for the requests of one route at one entry.

Demand may jump to several times the capacity, or refused callers may retry at
the same time. A limit on the rate holds however many requests arrive, whereas
admitting a share of the arrivals would admit more when more arrive.
"""

from dataclasses import dataclass

# Allows for bursts of arrivals. What all entries together admit at once beyond
# their rate stays below what guards can queue.
BURST_SECONDS = 0.3
MIN_BURST_REQUESTS = 3.0  # for routes with few requests a second


@dataclass(slots=True)
class AdmittedRate:
    """A token bucket filled at ``rate`` a second, one token a request.

    ``now`` is the time of the last refill, in seconds.

    >>> admitted = AdmittedRate(rate=10.0, now=0.0)
    >>> sum(admitted.take_token(0.0) for _ in range(10))
    3
    >>> admitted.take_token(0.05), admitted.take_token(0.1)
    (False, True)
    """

    rate: float
    now: float
    tokens: float = MIN_BURST_REQUESTS

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate at which tokens accrue from this time on."""
        self._refill(now)
        self.rate = rate

    def take_token(self, now: float) -> bool:
        """Take a token if there is a whole one."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def return_token(self) -> None:
        """Return the token of a request that was refused for other reasons."""
        self.tokens += 1

    def _refill(self, now: float) -> None:
        burst = max(MIN_BURST_REQUESTS, self.rate * BURST_SECONDS)
        accrued = self.tokens + (now - self.now) * self.rate
        self.tokens = min(burst, accrued)
        self.now = now
