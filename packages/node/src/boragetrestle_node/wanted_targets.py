"""How many targets a service needs."""

import math
from typing import NamedTuple

LEAST_TARGETS = 2
REST_SECONDS = 60.0

_WANTED_USE = 0.6
_OVERLOAD_GROWTH = 1.5


class TargetLoad(NamedTuple):
    """The load of one target.

    ``busy`` counts calls that run or wait. ``is_shedding`` tells that its
    admission level is below full, so that part of the demand is not seen.
    """

    busy: float
    slots: int
    is_shedding: bool = False


class WantedTargets:
    """Decide how many targets a service needs, with hysteresis.

    The number grows at once and shrinks by one after the lower need has lasted
    for ``REST_SECONDS``, so that short lulls put no host to rest.

    >>> wanted = WantedTargets()
    >>> wanted.update([TargetLoad(30, 50)] * 4, now=0)
    4
    >>> wanted.update([TargetLoad(0, 50)] * 4, now=1)
    4
    >>> wanted.update([TargetLoad(0, 50)] * 4, now=62)
    3
    """

    def __init__(self) -> None:
        self.count = 0
        self.lower_since = math.inf

    def update(self, loads: list[TargetLoad], *, now: float) -> int:
        """Return the number of targets wanted for these loads."""
        needed = needed_targets(loads)
        if needed >= self.count:
            self.count = needed
            self.lower_since = math.inf
            return self.count
        self.lower_since = min(self.lower_since, now)
        if now - self.lower_since >= REST_SECONDS:
            self.count -= 1
            self.lower_since = now
        return self.count


def needed_targets(loads: list[TargetLoad]) -> int:
    """Return the targets needed to keep slots in use at 60%.

    A service without targets needs the least number; one that sheds needs half
    as many again as it has.
    """
    if not loads:
        return LEAST_TARGETS
    slots = sum(load.slots for load in loads) / len(loads)
    busy = sum(load.busy for load in loads)
    needed = math.ceil(round(busy / (slots * _WANTED_USE), 3))
    if any(load.is_shedding for load in loads):
        needed = max(needed, math.ceil(len(loads) * _OVERLOAD_GROWTH))
    return max(LEAST_TARGETS, needed)
