"""Space the requests to a target that names a rate limit."""

import math

# Requests that may follow each other at once after a pause, in seconds of the
# limit. It is a small part of any period over which a target may count.
BURST_SECONDS = 0.25
# A target that takes less than this gets a request now and then all the same,
# since only an answer tells that the limit has ended.
MIN_RATE = 0.25


class TargetPace:
    """A token bucket that is refilled at the limit of the target.

    >>> pace = TargetPace()
    >>> pace.wait_for(5, now=0.0)
    0.0
    >>> pace.set_limit(2.0, now=0.0)
    >>> pace.is_free(now=0.0), pace.is_free(now=0.5)
    (False, True)
    >>> pace.wait_for(3, now=0.5)
    1.0
    """

    def __init__(self) -> None:
        self.rate = math.inf
        self.tokens = 0.0
        self.refilled_at = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the target has named a limit."""
        return math.isfinite(self.rate)

    def set_limit(self, limit: float | None, *, now: float) -> None:
        """Use another limit in requests a second, or none.

        A target that has just named its first limit has been sent enough.
        """
        self._refill(now)
        if not self.is_limited:
            self.tokens = 0.0
        self.rate = math.inf if limit is None else max(limit, MIN_RATE)
        self.tokens = min(self.tokens, self._capacity)

    def is_free(self, *, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.wait_for(1, now=now) <= 0

    def take(self, *, now: float) -> None:
        """Count a request that is sent."""
        if self.is_limited:
            self._refill(now)
            self.tokens -= 1

    def wait_for(self, requests: int, *, now: float) -> float:
        """Return the seconds until that many more requests may be sent."""
        if not self.is_limited:
            return 0.0
        self._refill(now)
        return max(0.0, (requests - self.tokens) / self.rate)

    @property
    def _capacity(self) -> float:
        return max(1.0, self.rate * BURST_SECONDS)

    def _refill(self, now: float) -> None:
        if self.is_limited:
            gained = (now - self.refilled_at) * self.rate
            self.tokens = min(self._capacity, self.tokens + max(0.0, gained))
        self.refilled_at = now
