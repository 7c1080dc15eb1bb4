"""Learn which onward calls the runs on each route make.

A node sees the runs at its target and the onward calls that the target makes,
but not which run made which call. Each call is attributed to one of the current
runs, chosen at random. A run weighs more if runs on its route were found to
make such calls, and if it expires at about the time the call does, since a
call's time is limited by that of its run. The estimates converge on the true
numbers over a few hundred calls.
"""

import random
from collections import defaultdict
from dataclasses import dataclass, field

DECAY_FACTOR = 0.97  # each quarter of a second: a time constant of about 8 s
# Calls a run assumed for a pair of routes before any were observed.
_PRIOR_CALL_COUNT = 0.5
MIN_COMPLETED_RUNS = 2.0  # enough, as most runs on a route make the same calls
MIN_FAILED_RUNS = 5.0  # more, as these may end at any point
FAILED_RUN_WEIGHT = 0.01  # relative to a completed run
MIN_CALLS_PER_RUN = 0.15  # fewer are noise
# The remaining time of a call is rounded down to milliseconds, and a busy event
# loop delays the call, so it appears to expire slightly before or some time
# after its run.
MAX_EARLY_MS = 1
MAX_LATE_MS = 12
# A run with the same expiry weighs as much as this many others. The weight is
# limited because unrelated runs may expire at the same time.
SAME_EXPIRY_WEIGHT = 10.0


@dataclass(slots=True, eq=False)
class RunCalls:
    """The onward calls attributed to a current run, by their route.

    ``index`` is the position of the run in the list of its route's runs.
    """

    route: str
    expires_ms: int
    index: int
    calls: dict[str, float] = field(default_factory=dict)


class _DecayingCallCounts:
    """Exponentially decaying counts of runs and their onward calls."""

    def __init__(self) -> None:
        self.runs = 0.0
        self.calls: defaultdict[str, float] = defaultdict(float)

    def add_run(self, calls: dict[str, float]) -> None:
        """Count a run that has ended, with its calls."""
        self.runs += 1
        for called, count in calls.items():
            self.calls[called] += count

    def decay(self) -> None:
        """Reduce the weight of earlier runs."""
        self.runs *= DECAY_FACTOR
        for called in self.calls:
            self.calls[called] *= DECAY_FACTOR


class CallAttribution:
    """Estimate how many onward calls the runs on each route make.

    A run that fails may end before it has made all its calls, so failed runs
    are used only while there are hardly any completed runs.

    >>> attribution = CallAttribution()
    >>> for number in range(10):
    ...     run = attribution.start_run('walks', 100.0 + number)
    ...     attribution.attribute_call('seats', 100.002 + number)
    ...     attribution.attribute_call('seats', 100.001 + number)
    ...     attribution.end_run(run, is_whole=True)
    >>> attribution.calls_per_run('walks')
    {'seats': 2.0}
    """

    def __init__(self, chance: random.Random | None = None) -> None:
        self.chance = chance or random.Random()
        self.by_expiry: dict[int, list[RunCalls]] = {}
        self.by_route: dict[str, list[RunCalls]] = {}
        self.completed: defaultdict[str, _DecayingCallCounts] = defaultdict(
            _DecayingCallCounts
        )
        self.failed: defaultdict[str, _DecayingCallCounts] = defaultdict(
            _DecayingCallCounts
        )

    def start_run(self, route: str, expires_at: float) -> RunCalls:
        """Record a run that the target was sent, with its deadline."""
        same_route = self.by_route.setdefault(route, [])
        run = RunCalls(route, _milliseconds(expires_at), len(same_route))
        same_route.append(run)
        self.by_expiry.setdefault(run.expires_ms, []).append(run)
        return run

    def attribute_call(self, called: str, expires_at: float) -> None:
        """Attribute an onward call to one of the current runs at random."""
        same_expiry = self._runs_expiring_near(_milliseconds(expires_at))
        runs = [
            *same_expiry,
            *(self.chance.choice(runs) for runs in self.by_route.values()),
        ]
        if not runs:
            return
        weights = [
            self._expected_calls(run.route, called) * count
            for run, count in zip(
                runs, self._represented_runs(same_expiry), strict=True
            )
        ]
        (run,) = self.chance.choices(runs, weights)
        run.calls[called] = run.calls.get(called, 0.0) + 1

    def end_run(self, run: RunCalls, *, is_whole: bool) -> None:
        """Remove a run that has ended and count its calls."""
        same_expiry = self.by_expiry[run.expires_ms]
        same_expiry.remove(run)
        if not same_expiry:
            del self.by_expiry[run.expires_ms]
        same_route = self.by_route[run.route]
        last = same_route.pop()
        if last is not run:
            same_route[run.index] = last
            last.index = run.index
        if not same_route:
            del self.by_route[run.route]
        counts = self.completed if is_whole else self.failed
        counts[run.route].add_run(run.calls)

    def calls_per_run(self, route: str) -> dict[str, float]:
        """Return the mean calls of a run on a route, by the route called."""
        counts = self._call_counts(route)
        if not self.observed_runs(route):
            return {}
        return {
            called: round(count / counts.runs, 3)
            for called, count in counts.calls.items()
            if count / counts.runs > MIN_CALLS_PER_RUN
        }

    def observed_runs(self, route: str) -> float:
        """Return the weight of the recent runs behind ``calls_per_run``."""
        completed = self.completed[route].runs
        if completed >= MIN_COMPLETED_RUNS:
            return round(completed, 1)
        failed = self.failed[route].runs
        if failed < MIN_FAILED_RUNS:
            return 0.0
        return min(failed * FAILED_RUN_WEIGHT, MIN_COMPLETED_RUNS / 2)

    def decay(self) -> None:
        """Reduce the weight of earlier runs; called four times a second."""
        for counts in (*self.completed.values(), *self.failed.values()):
            counts.decay()

    def _call_counts(self, route: str) -> _DecayingCallCounts:
        completed = self.completed[route]
        return (
            completed
            if completed.runs >= MIN_COMPLETED_RUNS
            else self.failed[route]
        )

    def _runs_expiring_near(self, expires_ms: int) -> list[RunCalls]:
        earliest = expires_ms - MAX_LATE_MS
        return [
            run
            for moment in range(earliest, expires_ms + MAX_EARLY_MS + 1)
            for run in self.by_expiry.get(moment, ())
        ]

    def _represented_runs(self, same_expiry: list[RunCalls]) -> list[float]:
        """Return the weight of each candidate by the runs it represents."""
        alone = [SAME_EXPIRY_WEIGHT for _run in same_expiry]
        return [*alone, *(float(len(runs)) for runs in self.by_route.values())]

    def _expected_calls(self, route: str, called: str) -> float:
        counts = self._call_counts(route)
        return (counts.calls[called] + _PRIOR_CALL_COUNT) / (counts.runs + 1.0)


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
