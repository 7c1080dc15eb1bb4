"""Learn how many concurrent runs a target handles well.

The guard alternates between the learned level and a level slightly below it.
Only a difference that shows on both sides of a lower phase counts, so a change
of the target's speed or short noise, which affects one phase, is no evidence.
"""

import math
from enum import Enum
from typing import NamedTuple

# The lower level, relative to the learned one. Closer levels differ by less
# than the noise of some 20 runs.
LOWER_FRACTION = 0.82
MIN_PHASE_SECONDS = 0.1  # in addition to the time of one run
MIN_PHASE_RUNS = 16
# A phase without enough runs by then shows nothing: the limit is not in use.
MAX_PHASE_SECONDS = 0.6
# Pause between comparisons at the highest level while run times hold steady.
# A lower phase costs about a sixth of the throughput while it lasts.
REST_SECONDS = 0.8
# Run times hold steady if they rise by less than this part of the rise in runs
# in flight.
STEADY_SHARE = 0.5
# The first rise is small, since a level above the knee costs throughput; each
# rise that proves right doubles the next, so that recovery takes 2 s.
MIN_RISE = 0.06
MAX_RISE = 0.4
# A fall is proportional to the excess of the run times, within these bounds.
MIN_FALL = 0.06
MAX_FALL = 0.3
FALL_PER_EXCESS = 0.3
FLOOR_SECONDS = 1.0  # the floor of a route covers one to two such intervals
NEWEST_RUN_WEIGHT = 0.1
MIN_SECONDS = 0.000001  # times are compared by their logarithms
MIN_ROUTE_RUNS = 3  # fewer make no floor
LOGGED_CHANGE = 0.25


class PhaseKind(Enum):
    """Which level is in force; a comparison passes through all in order."""

    FIRST = 'first'
    LOWER = 'lower'
    SECOND = 'second'
    REST = 'rest'


class LimitReason(Enum):
    """Why the learned limit last changed."""

    START = 'start'
    SLOWED = 'more-runs-slow-down'
    STEADY = 'run-times-steady'


class LimitChange(NamedTuple):
    """A change of a quarter or more since the last one that was logged."""

    before: int
    after: int
    reason: LimitReason
    evidence: dict[str, float]


_NEXT_PHASE = {
    PhaseKind.FIRST: PhaseKind.LOWER,
    PhaseKind.LOWER: PhaseKind.SECOND,
    PhaseKind.SECOND: PhaseKind.FIRST,
    PhaseKind.REST: PhaseKind.FIRST,
}


class PhaseResult(NamedTuple):
    """Means of one phase, as logarithms, and the variance of the first."""

    log_time: float
    log_in_flight: float
    variance: float


class _Phase:
    """Sums over the runs of one phase."""

    def __init__(self, kind: PhaseKind, now: float) -> None:
        self.kind = kind
        self.started_at = now
        self.runs = 0
        self.log_time = 0.0
        self.squares = 0.0
        self.log_in_flight = 0.0

    def add(self, relative_time: float, in_flight: int) -> None:
        """Add a run."""
        log_time = math.log(relative_time)
        self.runs += 1
        self.log_time += log_time
        self.squares += log_time * log_time
        self.log_in_flight += math.log(in_flight)

    @property
    def result(self) -> PhaseResult:
        """The means over the phase's runs."""
        mean = self.log_time / self.runs
        spread = max(0.0, self.squares / self.runs - mean * mean)
        return PhaseResult(
            mean, self.log_in_flight / self.runs, spread / self.runs
        )


class RouteFloor:
    """The fastest recent run of a route.

    >>> floor = RouteFloor()
    >>> floor.add(0.2, now=10.0)
    >>> floor.add(0.3, now=11.5)
    >>> floor.seconds
    0.2
    >>> floor.add(0.3, now=12.6)
    >>> floor.seconds
    0.3
    """

    def __init__(self) -> None:
        self.runs = 0
        self.before = math.inf
        self.newest = math.inf
        self.renewed_at = -math.inf

    @property
    def seconds(self) -> float:
        """The least time of the current interval and the one before."""
        return min(self.before, self.newest)

    def add(self, seconds: float, *, now: float) -> None:
        """Add the time of a run."""
        self.runs += 1
        if now - self.renewed_at > FLOOR_SECONDS:
            self.before = self.newest
            self.newest = math.inf
            self.renewed_at = now
        self.newest = min(self.newest, seconds)


class LearnedLimit:
    """Learn from completed runs how many the target should have at once.

    The limit falls if run times rise by more than the runs in flight, so that
    more runs in flight mean fewer runs a second.

    >>> learned = LearnedLimit(20)
    >>> learned.record('walks', 0.1, in_flight=20, now=10.0)
    >>> learned.limit
    20
    """

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self.level = float(self.slots)
        self.rise = MIN_RISE
        self.floors: dict[str, RouteFloor] = {}
        self.run_seconds = 0.0
        self.phase = _Phase(PhaseKind.FIRST, -math.inf)
        self.results: list[PhaseResult] = []
        self.recorded_at = -math.inf
        self.reason = LimitReason.START
        self.evidence: dict[str, float] = {}
        self.logged = self.slots

    @property
    def limit(self) -> int:
        """How many runs the target may have now, from 1 to the slots."""
        if self.phase.kind is PhaseKind.LOWER:
            return max(1, min(self.top - 1, int(self.top * LOWER_FRACTION)))
        return self.top

    @property
    def top(self) -> int:
        """The learned level as a whole number."""
        return max(1, min(self.slots, round(self.level)))

    def set_slots(self, slots: int) -> None:
        """Change the upper bound; a level at the bound follows it."""
        is_full = self.top >= self.slots
        self.slots = max(1, slots)
        if is_full or self.level > self.slots:
            self.level = float(self.slots)

    def record(
        self,
        route: str,
        seconds: float,
        in_flight: int,
        now: float,
        *,
        slowdown: float = 1.0,
    ) -> None:
        """Record a completed run and the runs in flight when it started."""
        usual_seconds = max(seconds / slowdown, MIN_SECONDS)
        floor = self.floors.setdefault(route, RouteFloor())
        floor.add(usual_seconds, now=now)
        self.run_seconds += NEWEST_RUN_WEIGHT * (seconds - self.run_seconds)
        if now - self.recorded_at > MAX_PHASE_SECONDS:
            self._restart(now)
        self.recorded_at = now
        phase = self.phase
        is_known = floor.runs >= MIN_ROUTE_RUNS
        if is_known and now - seconds >= phase.started_at:
            phase.add(usual_seconds / floor.seconds, max(1, in_flight))
        self._end_phase_if_due(now)

    def take_change(self) -> LimitChange | None:
        """Return a change that is to be logged, once."""
        before = self.logged
        if abs(self.top - before) < max(1.0, LOGGED_CHANGE * before):
            return None
        self.logged = self.top
        return LimitChange(before, self.top, self.reason, self.evidence)

    def explain(self) -> dict[str, object]:
        """Return what the limit rests on, for logs and the command."""
        return {
            'limit': self.limit,
            'learned': self.top,
            'slots': self.slots,
            'reason': self.reason.value,
            'phase': self.phase.kind.value,
            **self.evidence,
        }

    def _restart(self, now: float) -> None:
        self.results.clear()
        self.phase = _Phase(PhaseKind.FIRST, now)

    def _end_phase_if_due(self, now: float) -> None:
        phase = self.phase
        age = now - phase.started_at
        if phase.kind is PhaseKind.REST:
            if age >= REST_SECONDS:
                self._restart(now)
            return
        if age < MIN_PHASE_SECONDS + self.run_seconds:
            return
        if phase.runs < MIN_PHASE_RUNS:
            if age > MAX_PHASE_SECONDS + 2 * self.run_seconds:
                self._restart(now)
            return
        self.results.append(phase.result)
        self.phase = _Phase(_NEXT_PHASE[phase.kind], now)
        if phase.kind is PhaseKind.SECOND:
            self._compare(now)

    def _compare(self, now: float) -> None:
        first, lower, second = self.results
        self.results.clear()
        wider = min(first.log_in_flight, second.log_in_flight)
        widening = wider - lower.log_in_flight
        nominal = -math.log(LOWER_FRACTION)
        if self.top > 1 and widening < nominal / 2:
            self.phase = _Phase(PhaseKind.REST, now)
            return  # the limit was not in use
        slowing = sorted(
            side.log_time - lower.log_time for side in (first, second)
        )
        error = math.sqrt(lower.variance + max(first.variance, second.variance))
        self.evidence = {
            'widened': round(math.exp(widening), 3),
            'slowed_least': round(math.exp(slowing[0]), 3),
            'slowed_most': round(math.exp(slowing[1]), 3),
        }
        if slowing[0] > widening + error:
            self._fall(slowing[0] / widening - 1 if widening > 0 else 0.0)
        elif slowing[1] < widening * STEADY_SHARE + error:
            self._rise(now)

    def _fall(self, excess: float) -> None:
        fall = max(MIN_FALL, min(MAX_FALL, FALL_PER_EXCESS * excess))
        self.level = max(1.0, min(self.level * (1 - fall), self.top - 1.0))
        self.rise = MIN_RISE
        self.reason = LimitReason.SLOWED

    def _rise(self, now: float) -> None:
        if self.top >= self.slots:
            self.phase = _Phase(PhaseKind.REST, now)
            return
        higher = max(self.level * (1 + self.rise), self.level + 1.0)
        self.level = min(float(self.slots), higher)
        self.rise = min(MAX_RISE, self.rise * 2)
        self.reason = LimitReason.STEADY
