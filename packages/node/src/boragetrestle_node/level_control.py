"""Control of the admission level of one target."""

import math
from collections.abc import Sequence

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_node.admission_level import FULL_LEVEL, admitted_share
from boragetrestle_node.guard_signal import GuardSignal

LEAST_LEVEL = 0.02

_KEPT = 0.75
_LEAST_SHED = 2.0
_SHED_SHARE = 0.12
_KEPT_SHED_SHARE = 0.08
_REACTION_SECONDS = 1.5
_WANTED_USE = 0.95
_BUSY_USE = 0.5
_LEAST_GROWTH = 1.02
_MOST_GROWTH = 2.0
_LEAST_STEP = 0.02
_USE_SMOOTHING = 0.5


class LevelControl:
    """Follow the signals of a guard: cut while it sheds, grow otherwise.

    A cut lowers the share of the least important classes by as many calls as
    were shed, or as were offered more than ended where that is less, since a
    queue also sheds calls of earlier seconds. It waits until callers have had time to react. Calls that a
    target sheds with idle slots, for their short deadline, cut nothing, and
    neither do a few among many, which only show that the target is full.
    Growth follows the share of slots in use: a target that is half idle admits
    twice as much, a full one a few percent more.
    """

    def __init__(self) -> None:
        self.level = FULL_LEVEL
        self.use = 0.0
        self.react_until = -math.inf
        self.offered: Sequence[float] = [0.0 for _ in CallClass]
        self.shed: Sequence[float] = [0.0 for _ in CallClass]
        self.recent = [0.0 for _ in CallClass]
        self.recent_shed = 0.0
        self.ended = 0.0
        self.recent_ended = 0.0

    def update(self, signal: GuardSignal, *, now: float) -> float:
        """Return the level for the next interval."""
        shed = self._count(signal)
        if now < self.react_until:
            self._forget(0)
        elif self._is_overloaded(signal):
            self._cut()
            self._forget(0)
            self.react_until = now + _REACTION_SECONDS
        elif not signal.queued and not shed:
            self._grow()
        return self.level

    def _count(self, signal: GuardSignal) -> float:
        """Add what was offered and shed; return the shed of this interval."""
        self._forget(_KEPT)
        offered = _increase(signal.offered_total, self.offered)
        shed = sum(_increase(signal.shed_total, self.shed))
        self.offered = signal.offered_total
        self.shed = signal.shed_total
        self.recent = [
            count + more
            for count, more in zip(self.recent, offered, strict=True)
        ]
        self.recent_shed += shed
        self.recent_ended += signal.ended_total - self.ended
        self.ended = signal.ended_total
        in_use = signal.in_use / signal.limit
        self.use += _USE_SMOOTHING * (in_use - self.use)
        return shed

    def _forget(self, kept: float) -> None:
        self.recent = [kept * count for count in self.recent]
        self.recent_shed *= kept
        self.recent_ended *= kept

    def _is_overloaded(self, signal: GuardSignal) -> bool:
        is_busy = max(self.use, signal.in_use / signal.limit) >= _BUSY_USE
        enough = max(_LEAST_SHED, _SHED_SHARE * sum(self.recent))
        return is_busy and self.recent_shed >= enough

    def _cut(self) -> None:
        offered = self.recent
        excess = max(0.0, sum(offered) - self.recent_ended)
        left = min(self.recent_shed, excess)
        left -= _KEPT_SHED_SHARE * sum(offered)
        for call_class in reversed(CallClass):
            if left <= 0:
                return
            share = admitted_share(self.level, call_class)
            if not share or not offered[call_class]:
                continue
            part = min(1.0, left / offered[call_class])
            left -= part * offered[call_class]
            level = call_class + share * (1 - part)
            self.level = max(LEAST_LEVEL, level)

    def _grow(self) -> None:
        wanted = _WANTED_USE / max(self.use, _WANTED_USE / _MOST_GROWTH)
        part = math.modf(self.level)[0] or 1.0
        step = part * (max(_LEAST_GROWTH, wanted) - 1)
        self.level = min(FULL_LEVEL, self.level + max(_LEAST_STEP, step))


def _increase(
    totals: Sequence[float],
    before: Sequence[float],
) -> list[float]:
    return [total - known for total, known in zip(totals, before, strict=True)]
