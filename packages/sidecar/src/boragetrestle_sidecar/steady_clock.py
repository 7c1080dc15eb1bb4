"""The clock of deadlines, which counts time that a host was suspended."""

import time


def steady_now() -> float:
    """Return seconds on a clock that never steps and never stands still.

    The monotonic clock stops while a host is suspended, so that a request
    would seem younger than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
