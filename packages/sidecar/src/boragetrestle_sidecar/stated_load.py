"""The load that a target states in the headers of its answers.

Some targets share their machine with others. They also state how long work
takes there at the moment, which changes many times a second.
"""

import math
import re
from typing import TYPE_CHECKING, NamedTuple

from boragetrestle_kernel.errors import WireError

if TYPE_CHECKING:
    from boragetrestle_sidecar.target_answer import TargetAnswer
    from boragetrestle_sidecar.wire_names import WireNames

# The separator is a comma, a semicolon, a slash or a blank.
_LOAD = re.compile(
    rb'(\d{1,6})[,;/ ] *(\d{1,6})[,;/ ] *(\d{1,6})(?:[,;/ ] *(\d{1,6}))?'
)
_USUAL_SLOWDOWN = 100  # as the header states it
# A greater slowdown would hide a stuck target; no target is that slow.
MAX_SLOWDOWN = 100.0
# A phase of the load on a machine lasts about this long.
SLOWDOWN_HALF_LIFE_SECONDS = 0.5


class StatedLoad(NamedTuple):
    """Runs at the target, runs that wait there, its slots, and its slowdown.

    ``slowdown`` is relative to the usual time of the target's work, ``None`` if
    the target states none.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


def read_stated_load(
    answer: 'TargetAnswer',
    names: 'WireNames',
) -> StatedLoad | None:
    """Return the load that an answer states, ``None`` if it states none.

    Raises ``WireError`` for one that cannot be decoded.
    """
    return _decode_load(answer.header(names.stated_load))


def _decode_load(stated: bytes | None) -> StatedLoad | None:
    """Return a stated load.

    >>> _decode_load(b'3,0,8,250')
    StatedLoad(running=3, waiting=0, slots=8, slowdown=2.5)
    >>> _decode_load(b'3,0,8').slowdown is None
    True
    >>> _decode_load(b'3,0,0,100')
    Traceback (most recent call last):
    ...
    boragetrestle_kernel.errors.WireError: ...
    """
    if stated is None:
        return None
    found = _LOAD.fullmatch(stated.strip())
    if found is not None:
        running, waiting, slots = map(int, found.group(1, 2, 3))
        percent = found.group(4)
        slowdown = None if percent is None else int(percent) / _USUAL_SLOWDOWN
        if slots and (slowdown is None or 0 < slowdown <= MAX_SLOWDOWN):
            return StatedLoad(running, waiting, slots, slowdown)
    raise WireError(
        f'a target states the load {stated!r}',
        remedy='state running, waiting, slots and a slowdown in percent',
    )


class TargetSlowdown:
    """The newest load of a target that states how slow its machine is.

    A slowdown decays to 1 when no answer renews it. A load without a slowdown
    changes nothing.

    >>> slowdown = TargetSlowdown()
    >>> slowdown.record(StatedLoad(1, 0, 8, slowdown=3.0), now=10.0)
    >>> slowdown.factor(10.0), slowdown.factor(10.5)
    (3.0, 2.0)
    """

    def __init__(self) -> None:
        self.load: StatedLoad | None = None
        self.stated_at = -math.inf

    def start(self) -> None:
        """Start anew with another incarnation."""
        self.load = None
        self.stated_at = -math.inf

    def record(self, load: StatedLoad, now: float) -> None:
        """Take over a load that states a slowdown."""
        if load.slowdown is not None:
            self.load = load
            self.stated_at = now

    @property
    def is_stated(self) -> bool:
        """Whether the target has stated a slowdown."""
        return self.load is not None

    def factor(self, now: float) -> float:
        """Return how many times longer than usual work takes now."""
        load = self.load
        if load is None or load.slowdown is None:
            return 1.0
        age = max(0.0, now - self.stated_at)
        decay = float(0.5 ** (age / SLOWDOWN_HALF_LIFE_SECONDS))
        return 1.0 + (load.slowdown - 1.0) * decay

    def bound_slots(self, slots: int) -> int:
        """Return the lesser of the slots in heartbeats and in answers."""
        return slots if self.load is None else min(slots, self.load.slots)
