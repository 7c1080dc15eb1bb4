"""Bound retries to a share of fresh traffic."""

from collections import defaultdict

from boragetrestle_kernel.ids import ServiceName

RETRY_SHARE = 0.1
MAX_RETRIES = 10.0


class RetryBuckets:
    """Hold one bucket of retries for each service.

    A fresh call adds ``RETRY_SHARE`` of a retry, up to ``MAX_RETRIES``; a
    bucket starts full.

    >>> buckets = RetryBuckets()
    >>> sum(buckets.take(ServiceName('walks')) for _ in range(50))
    10
    """

    def __init__(self) -> None:
        self.retries: defaultdict[ServiceName, float] = defaultdict(
            lambda: MAX_RETRIES,
        )

    def add(self, service: ServiceName) -> None:
        """Count a fresh call."""
        filled = self.retries[service] + RETRY_SHARE
        self.retries[service] = min(MAX_RETRIES, filled)

    def take(self, service: ServiceName) -> bool:
        """Take one retry; return whether there was one."""
        if self.retries[service] < 1:
            return False
        self.retries[service] -= 1
        return True
