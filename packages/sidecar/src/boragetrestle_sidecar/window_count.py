"""A sum over a sliding window."""

from collections import deque


class SlidingWindowSum:
    """Sum the amounts added during the last ``seconds``.

    >>> count = SlidingWindowSum(10)
    >>> count.add(2, now=0)
    >>> count.total(9), count.total(11)
    (2.0, 0.0)
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.buckets: deque[list[float]] = deque()
        self.running_sum = 0.0

    def add(self, amount: float, *, now: float) -> None:
        """Add an amount; amounts of one second share a bucket."""
        if self.buckets and now - self.buckets[-1][0] < 1:
            self.buckets[-1][1] += amount
        else:
            self.buckets.append([now, amount])
        self.running_sum += amount

    def total(self, now: float) -> float:
        """Return the sum over the window that ends now."""
        while self.buckets and now - self.buckets[0][0] >= self.seconds:
            self.running_sum -= self.buckets.popleft()[1]
        return self.running_sum
