"""The clock for deadlines, which also runs while the host is suspended."""

import time


def steady_now() -> float:
    """Return seconds on a clock that never jumps and never stops.

    The monotonic clock stops while a host is suspended, so that a request
    would appear younger than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
