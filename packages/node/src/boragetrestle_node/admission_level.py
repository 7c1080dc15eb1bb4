"""Admission level: the share of calls a service admits, as one number."""

from collections.abc import Sequence

from boragetrestle_kernel.call_class import CallClass

FULL_LEVEL = float(len(CallClass))


def admitted_share(level: float, call_class: CallClass) -> float:
    """Return the share of the calls of a class that a level admits.

    The whole part of a level is the number of call classes that are admitted in
    full, the most important first; its fraction is the share of the next class.

    >>> [admitted_share(1.25, one) for one in CallClass]
    [1.0, 0.25, 0.0]
    """
    return min(1.0, max(0.0, level - call_class))


def median_level(levels: Sequence[float]) -> float:
    """Return the upper median, so that one slow target of three is ignored.

    >>> median_level([3.0, 0.5, 2.5])
    2.5
    """
    if not levels:
        return FULL_LEVEL
    return sorted(levels)[len(levels) // 2]
