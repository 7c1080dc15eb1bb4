"""Bound what the large runs of other nodes hold of a node's memory."""

# As much as the bodies of the node's own callers get.
RUN_MEMORY_SHARE = 0.25


class RunBuffers:
    """Count the bytes of large runs that are received, wait or run here.

    >>> buffers = RunBuffers(100)
    >>> buffers.try_hold(120), buffers.try_hold(10), buffers.held_bytes
    (True, False, 120)
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held_bytes = 0

    def try_hold(self, size: int) -> bool:
        """Count a run and return true, or return false if it does not fit.

        The first one always fits.
        """
        if self.held_bytes and self.held_bytes + size > self.limit:
            return False
        self.hold(size)
        return True

    def hold(self, size: int) -> None:
        """Count a run whatever is held."""
        self.held_bytes += size

    def release(self, size: int) -> None:
        """Count a run no longer."""
        self.held_bytes -= size
