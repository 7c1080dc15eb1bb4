"""What the guard of a target tells about its load."""

from typing import NamedTuple


class GuardSignal(NamedTuple):
    """Load of one target as its guard sees it.

    ``expected_wait`` is in seconds. ``shed`` is the share of calls shed over
    the last seconds by class, in the order of ``CallClass``.
    """

    queued: int
    expected_wait: float
    shed: tuple[float, ...]
    limit: int
    in_use: int
