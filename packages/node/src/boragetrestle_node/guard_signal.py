"""What the guard of a target tells about its load."""

from typing import NamedTuple


class GuardSignal(NamedTuple):
    """Load of one target as its guard sees it.

    ``expected_wait`` is in seconds. ``shed`` is the share of calls shed over
    the last seconds by class, in the order of ``CallClass``. ``offered_total``
    and ``shed_total`` count calls by class since the guard started,
    ``ended_total`` those that ran.
    """

    queued: int
    expected_wait: float
    shed: tuple[float, ...]
    limit: int
    in_use: int
    offered_total: tuple[float, ...]
    shed_total: tuple[float, ...]
    ended_total: float
