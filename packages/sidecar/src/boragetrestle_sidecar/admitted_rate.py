"""A bound on the requests of one route that an entry lets in.

The load this answers: demand jumps to several times what fits, or callers who
were refused come back together. A bound on the rate holds whatever arrives,
where a share of the arrivals would let in more of a larger crowd.
"""

from dataclasses import dataclass

# Arrivals come in clumps; what a whole fleet lets in at once beyond its rate
# stays below what guards queue.
BURST_SECONDS = 0.3
LEAST_BURST = 3.0  # requests, on routes with few a second


@dataclass(slots=True)
class AdmittedRate:
    """Tokens that accrue at ``rate`` a second, one for each request.

    >>> admitted = AdmittedRate(rate=10.0, now=0.0)
    >>> sum(admitted.take(0.0) for _ in range(10))
    3
    >>> admitted.take(0.05), admitted.take(0.1)
    (False, True)
    """

    rate: float
    now: float
    tokens: float = LEAST_BURST

    def set_rate(self, rate: float, now: float) -> None:
        """Let tokens accrue at another rate from now on."""
        self._refill(now)
        self.rate = rate

    def take(self, now: float) -> bool:
        """Take a token if there is a whole one."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def give_back(self) -> None:
        """Return the token of a request that was refused for other reasons."""
        self.tokens += 1

    def _refill(self, now: float) -> None:
        burst = max(LEAST_BURST, self.rate * BURST_SECONDS)
        accrued = self.tokens + (now - self.now) * self.rate
        self.tokens = min(burst, accrued)
        self.now = now
