"""Learn which onward calls the runs on each route make.

A node sees the runs at its target and the calls that the target makes. Any run
under way may have made a call: rather one on a route whose runs were found to
make such calls, and rather one that expires with the call, since the time of a
call is limited by its run. One is chosen at random with these weights, which
settles on the true numbers over a few hundred calls.
"""

import random
from collections import defaultdict
from dataclasses import dataclass, field

KEPT_SHARE = 0.97  # of what was learnt, each quarter of a second: about 8 s
_FIRST_SHARE = 0.5  # calls a run that a new pair of routes starts from
LEAST_WHOLE_RUNS = 2.0  # most runs on a route make the same calls
LEAST_FAILED_RUNS = 5.0  # these end anywhere
FAILED_WEIGHT = 0.01  # of such a run beside a whole one
LEAST_CALLS = 0.15  # calls a run below this are taken for noise
# A call is told in whole milliseconds, cut down, and ages on its way through a
# busy loop, so it seems to expire a little before or some time after its run.
EARLIEST_MS = 1
LATEST_MS = 12
# Runs that a run with the same expiry stands for: some expire then by chance.
TOGETHER_WEIGHT = 10.0


@dataclass(slots=True, eq=False)
class RunCalls:
    """The onward calls of one run that is under way.

    ``place`` is where the run stands among those on its route.
    """

    route: str
    expires_ms: int
    place: int
    calls: dict[str, float] = field(default_factory=dict)


class _Learnt:
    """Runs and their calls, the old ones fading."""

    def __init__(self) -> None:
        self.runs = 0.0
        self.calls: defaultdict[str, float] = defaultdict(float)

    def add(self, calls: dict[str, float]) -> None:
        """Take a run that has ended."""
        self.runs += 1
        for called, count in calls.items():
            self.calls[called] += count

    def fade(self) -> None:
        """Let what is old count less."""
        self.runs *= KEPT_SHARE
        for called in self.calls:
            self.calls[called] *= KEPT_SHARE


class CallAttribution:
    """Count the onward calls of runs by route.

    Runs that fail end before they have made all their calls, so they count
    only while hardly any run has gone through.

    >>> learnt = CallAttribution()
    >>> for number in range(10):
    ...     run = learnt.started('walks', 100.0 + number)
    ...     learnt.called('seats', 100.002 + number)
    ...     learnt.called('seats', 100.001 + number)
    ...     learnt.ended(run, is_whole=True)
    >>> learnt.calls_of('walks')
    {'seats': 2.0}
    """

    def __init__(self, chance: random.Random | None = None) -> None:
        self.chance = chance or random.Random()
        self.by_expiry: dict[int, list[RunCalls]] = {}
        self.by_route: dict[str, list[RunCalls]] = {}
        self.whole: defaultdict[str, _Learnt] = defaultdict(_Learnt)
        self.failed: defaultdict[str, _Learnt] = defaultdict(_Learnt)

    def started(self, route: str, expires_at: float) -> RunCalls:
        """Note that a run was sent; ``expires_at`` is what it was told."""
        alike = self.by_route.setdefault(route, [])
        run = RunCalls(route, _milliseconds(expires_at), len(alike))
        alike.append(run)
        self.by_expiry.setdefault(run.expires_ms, []).append(run)
        return run

    def called(self, called: str, expires_at: float) -> None:
        """Attribute a call to a run that may have made it."""
        together = self._expiring_at(_milliseconds(expires_at))
        runs = [
            *together,
            *(self.chance.choice(runs) for runs in self.by_route.values()),
        ]
        if not runs:
            return
        weights = [
            self._share(run.route, called) * count
            for run, count in zip(runs, self._counts(together), strict=True)
        ]
        (run,) = self.chance.choices(runs, weights)
        run.calls[called] = run.calls.get(called, 0.0) + 1

    def ended(self, run: RunCalls, *, is_whole: bool) -> None:
        """Learn from a run that has ended."""
        together = self.by_expiry[run.expires_ms]
        together.remove(run)
        if not together:
            del self.by_expiry[run.expires_ms]
        alike = self.by_route[run.route]
        last = alike.pop()
        if last is not run:
            alike[run.place] = last
            last.place = run.place
        if not alike:
            del self.by_route[run.route]
        learnt = self.whole if is_whole else self.failed
        learnt[run.route].add(run.calls)

    def calls_of(self, route: str) -> dict[str, float]:
        """Return how many calls a run makes, by the route they take."""
        learnt = self._learnt(route)
        if not self.runs_of(route):
            return {}
        return {
            called: round(count / learnt.runs, 3)
            for called, count in learnt.calls.items()
            if count / learnt.runs > LEAST_CALLS
        }

    def runs_of(self, route: str) -> float:
        """Return on how many recent runs ``calls_of`` rests."""
        whole = self.whole[route].runs
        if whole >= LEAST_WHOLE_RUNS:
            return round(whole, 1)
        failed = self.failed[route].runs
        if failed < LEAST_FAILED_RUNS:
            return 0.0
        return min(failed * FAILED_WEIGHT, LEAST_WHOLE_RUNS / 2)

    def fade(self) -> None:
        """Let what is old count less; called four times a second."""
        for learnt in (*self.whole.values(), *self.failed.values()):
            learnt.fade()

    def _learnt(self, route: str) -> _Learnt:
        whole = self.whole[route]
        return whole if whole.runs >= LEAST_WHOLE_RUNS else self.failed[route]

    def _expiring_at(self, expires_ms: int) -> list[RunCalls]:
        earliest = expires_ms - LATEST_MS
        return [
            run
            for moment in range(earliest, expires_ms + EARLIEST_MS + 1)
            for run in self.by_expiry.get(moment, ())
        ]

    def _counts(self, together: list[RunCalls]) -> list[float]:
        """Return for how many runs each candidate stands."""
        alone = [TOGETHER_WEIGHT for _run in together]
        return [*alone, *(float(len(runs)) for runs in self.by_route.values())]

    def _share(self, route: str, called: str) -> float:
        learnt = self._learnt(route)
        return (learnt.calls[called] + _FIRST_SHARE) / (learnt.runs + 1.0)


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
