"""The load that the guard of a target reports."""

from typing import NamedTuple


class GuardSignal(NamedTuple):
    """Load and limit of one target, measured by its guard.

    ``expected_wait`` is in seconds. ``limit`` is the number of calls that may
    run at once, ``in_use`` the number of slots taken. ``shed`` is the share of
    calls shed over the last seconds by class, in the order of ``CallClass``.
    ``offered_total`` and ``shed_total`` count calls by class since the guard
    started, ``ended_total`` counts those that ran.
    """

    queued: int
    expected_wait: float
    shed: tuple[float, ...]
    limit: int
    in_use: int
    offered_total: tuple[float, ...]
    shed_total: tuple[float, ...]
    ended_total: float
