"""A sum over a sliding window."""

from collections import deque


class WindowCount:
    """Add amounts and sum those of the last seconds.

    >>> count = WindowCount(10)
    >>> count.add(2, now=0)
    >>> count.total(9), count.total(11)
    (2.0, 0.0)
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.parts: deque[list[float]] = deque()
        self.sum = 0.0

    def add(self, amount: float, *, now: float) -> None:
        """Add an amount; those of one second are kept together."""
        if self.parts and now - self.parts[-1][0] < 1:
            self.parts[-1][1] += amount
        else:
            self.parts.append([now, amount])
        self.sum += amount

    def total(self, now: float) -> float:
        """Return the sum over the window that ends now."""
        while self.parts and now - self.parts[0][0] >= self.seconds:
            self.sum -= self.parts.popleft()[1]
        return self.sum
