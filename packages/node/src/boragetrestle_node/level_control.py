"""Feedback control of the admission level of one target."""

import math
from collections.abc import Sequence

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_node.admission_level import FULL_LEVEL, admitted_share
from boragetrestle_node.guard_signal import GuardSignal

MIN_LEVEL = 0.02

_DECAY_FACTOR = 0.75
_MIN_SHED_CALLS = 2.0
_OVERLOAD_SHED_SHARE = 0.12
_TOLERATED_SHED_SHARE = 0.08
_CALLER_REACTION_SECONDS = 1.5
_DESIRED_UTILISATION = 0.95
_BUSY_UTILISATION = 0.5
_MIN_GROWTH_FACTOR = 1.02
_MAX_GROWTH_FACTOR = 2.0
_MIN_LEVEL_STEP = 0.02
_UTILISATION_SMOOTHING = 0.5


class LevelControl:
    """Lower the level while the guard sheds calls, raise it otherwise.

    The guard (the node beside the target that enforces its limits) reports
    counts of calls. A cut lowers the share of the least important classes by
    the number of calls shed, or by the number offered beyond those that ended
    if that is less, since a queue also sheds calls of earlier seconds. After
    a cut the level stays until callers have had time to react. Calls shed for
    their short deadline while slots are idle cause no cut; nor does a small
    share of shed calls, which only shows that the target is full. The level
    grows by the share of slots in use: a target that is half idle admits twice
    as much, a full one a few percent more.
    """

    def __init__(self) -> None:
        self.level = FULL_LEVEL
        self.average_utilisation = 0.0
        self.hold_until = -math.inf
        self.previous_offered: Sequence[float] = [0.0 for _ in CallClass]
        self.previous_shed: Sequence[float] = [0.0 for _ in CallClass]
        self.recent_offered = [0.0 for _ in CallClass]
        self.recent_shed = 0.0
        self.previous_ended = 0.0
        self.recent_ended = 0.0

    def update(self, signal: GuardSignal, *, now: float) -> float:
        """Update the level from a signal and return it."""
        shed = self._add_counts(signal)
        if now < self.hold_until:
            self._decay_counts(0)
        elif self._is_overloaded(signal):
            self._cut()
            self._decay_counts(0)
            self.hold_until = now + _CALLER_REACTION_SECONDS
        elif not signal.queued and not shed:
            self._grow()
        return self.level

    def _add_counts(self, signal: GuardSignal) -> float:
        """Update the decayed counts; return the calls shed in this interval."""
        self._decay_counts(_DECAY_FACTOR)
        offered = _increases(signal.offered_total, self.previous_offered)
        shed = sum(_increases(signal.shed_total, self.previous_shed))
        self.previous_offered = signal.offered_total
        self.previous_shed = signal.shed_total
        self.recent_offered = [
            count + more
            for count, more in zip(self.recent_offered, offered, strict=True)
        ]
        self.recent_shed += shed
        self.recent_ended += signal.ended_total - self.previous_ended
        self.previous_ended = signal.ended_total
        utilisation = signal.in_use / signal.limit
        self.average_utilisation += _UTILISATION_SMOOTHING * (
            utilisation - self.average_utilisation
        )
        return shed

    def _decay_counts(self, factor: float) -> None:
        self.recent_offered = [factor * count for count in self.recent_offered]
        self.recent_shed *= factor
        self.recent_ended *= factor

    def _is_overloaded(self, signal: GuardSignal) -> bool:
        is_busy = (
            max(self.average_utilisation, signal.in_use / signal.limit)
            >= _BUSY_UTILISATION
        )
        threshold = max(
            _MIN_SHED_CALLS, _OVERLOAD_SHED_SHARE * sum(self.recent_offered)
        )
        return is_busy and self.recent_shed >= threshold

    def _cut(self) -> None:
        offered = self.recent_offered
        excess = max(0.0, sum(offered) - self.recent_ended)
        calls_to_cut = min(self.recent_shed, excess)
        calls_to_cut -= _TOLERATED_SHED_SHARE * sum(offered)
        for call_class in reversed(CallClass):
            if calls_to_cut <= 0:
                return
            share = admitted_share(self.level, call_class)
            if not share or not offered[call_class]:
                continue
            part = min(1.0, calls_to_cut / offered[call_class])
            calls_to_cut -= part * offered[call_class]
            level = call_class + share * (1 - part)
            self.level = max(MIN_LEVEL, level)

    def _grow(self) -> None:
        growth = _DESIRED_UTILISATION / max(
            self.average_utilisation, _DESIRED_UTILISATION / _MAX_GROWTH_FACTOR
        )
        part = math.modf(self.level)[0] or 1.0
        step = part * (max(_MIN_GROWTH_FACTOR, growth) - 1)
        self.level = min(FULL_LEVEL, self.level + max(_MIN_LEVEL_STEP, step))


def _increases(
    totals: Sequence[float],
    before: Sequence[float],
) -> list[float]:
    return [total - known for total, known in zip(totals, before, strict=True)]
