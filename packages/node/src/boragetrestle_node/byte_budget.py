"""Limit the bytes that all calls of a node together buffer in memory."""


class ByteBudget:
    """Count reserved bytes up to a limit.

    >>> budget = ByteBudget(10)
    >>> budget.reserve(8), budget.reserve(8)
    (True, False)
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0

    def reserve(self, count: int) -> bool:
        """Reserve bytes if the limit allows it; return whether it does."""
        if self.reserved + count > self.limit:
            return False
        self.reserved += count
        return True

    def release(self, count: int) -> None:
        """Release reserved bytes."""
        self.reserved -= count
