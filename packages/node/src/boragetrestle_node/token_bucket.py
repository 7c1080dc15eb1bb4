"""A token bucket on the monotonic clock."""

import trio


class TokenBucket:
    """Admit at most ``rate`` calls a second with a burst.

    >>> bucket = TokenBucket(rate=2, burst=1, now=0)
    >>> bucket.take(now=0), bucket.take(now=0), bucket.take(now=0.5)
    (True, False, True)
    """

    def __init__(
        self,
        *,
        rate: float,
        burst: float,
        now: float | None = None,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at = trio.current_time() if now is None else now

    def take(self, *, now: float | None = None) -> bool:
        """Take a token if there is one."""
        self.refill(trio.current_time() if now is None else now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refill(self, now: float) -> None:
        """Add the tokens that accrued since the last update."""
        accrued = (now - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + accrued)
        self.updated_at = now

    def wait(self) -> float:
        """Return the seconds until the next token."""
        return max(0, 1 - self.tokens) / self.rate
