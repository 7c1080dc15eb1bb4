"""Slots that are missing now and are expected back."""

from collections.abc import Iterable
from typing import NamedTuple

from boragetrestle_sidecar.peer_numbers import Amount


class ReturningSlots(NamedTuple):
    """Slots that become usable in some seconds, as cold targets warm up.

    >>> ReturningSlots(20.0, 2.5).after(1.0)
    ReturningSlots(slots=20.0, seconds=1.5)
    >>> ReturningSlots(20.0, 2.5).after(3.0)
    ReturningSlots(slots=20.0, seconds=0.0)
    """

    slots: Amount = 0.0
    seconds: Amount = 0.0

    def after(self, elapsed: float) -> 'ReturningSlots':
        """Return what is still expected after ``elapsed`` seconds."""
        left = round(self.seconds - elapsed, 3)
        return self._replace(seconds=max(0.0, left))


def combine_returning(parts: Iterable[ReturningSlots]) -> ReturningSlots:
    """Add slots up; they return at the mean of their times.

    >>> combine_returning([ReturningSlots(10, 1.0), ReturningSlots(30, 2.0)])
    ReturningSlots(slots=40.0, seconds=1.75)
    """
    slots = 0.0
    slot_seconds = 0.0
    for part in parts:
        slots += part.slots
        slot_seconds += part.slots * part.seconds
    if not slots:
        return ReturningSlots()
    return ReturningSlots(round(slots, 2), round(slot_seconds / slots, 3))
