"""Learn which onward calls the runs on each route make.

A node sees the runs at its target and the calls that the target makes. A call
expires with its run, so the few runs that expire at that moment are its
possible parents; among several it is divided by how often runs on their routes
make such calls.
"""

from collections import defaultdict
from dataclasses import dataclass, field

KEPT_SHARE = 0.97  # of what was learnt, each quarter of a second: about 8 s
_FIRST_SHARE = 0.5  # calls a run that a new pair of routes starts from
_LEAST_RUNS = 5.0  # fewer runs say too little
LEAST_CALLS = 0.15  # calls a run below this are taken for noise
# A call is told in whole milliseconds, cut down, and ages on its way through a
# busy loop, so it seems to expire a little before or some time after its run.
EARLIEST_MS = 1
LATEST_MS = 12


@dataclass(slots=True, eq=False)
class RunCalls:
    """The onward calls of one run that is under way."""

    route: str
    expires_ms: int
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
    only while no run has gone through.

    >>> learnt = CallAttribution()
    >>> for number in range(10):
    ...     run = learnt.started('walks', 100.0 + number)
    ...     learnt.called('seats', 100.002 + number)
    ...     learnt.called('seats', 100.001 + number)
    ...     learnt.ended(run, is_whole=True)
    >>> learnt.calls_of('walks')
    {'seats': 2.0}
    """

    def __init__(self) -> None:
        self.under_way: dict[int, list[RunCalls]] = {}
        self.whole: defaultdict[str, _Learnt] = defaultdict(_Learnt)
        self.failed: defaultdict[str, _Learnt] = defaultdict(_Learnt)

    def started(self, route: str, expires_at: float) -> RunCalls:
        """Note that a run was sent; ``expires_at`` is what it was told."""
        run = RunCalls(route, _milliseconds(expires_at))
        self.under_way.setdefault(run.expires_ms, []).append(run)
        return run

    def called(self, called: str, expires_at: float) -> None:
        """Attribute a call to the runs that expire with it."""
        parents = self._parents(_milliseconds(expires_at))
        weights = [self._share(run.route, called) for run in parents]
        total = sum(weights)
        for run, weight in zip(parents, weights, strict=True):
            run.calls[called] = run.calls.get(called, 0.0) + weight / total

    def ended(self, run: RunCalls, *, is_whole: bool) -> None:
        """Learn from a run that has ended."""
        together = self.under_way[run.expires_ms]
        together.remove(run)
        if not together:
            del self.under_way[run.expires_ms]
        learnt = self.whole if is_whole else self.failed
        learnt[run.route].add(run.calls)

    def calls_of(self, route: str) -> dict[str, float]:
        """Return how many calls a run makes, by the route they take."""
        learnt = self._learnt(route)
        return {
            called: round(count / learnt.runs, 3)
            for called, count in learnt.calls.items()
            if learnt.runs >= _LEAST_RUNS and count / learnt.runs > LEAST_CALLS
        }

    def runs_of(self, route: str) -> float:
        """Return on how many recent runs ``calls_of`` rests."""
        runs = self._learnt(route).runs
        return round(runs, 1) if runs >= _LEAST_RUNS else 0.0

    def fade(self) -> None:
        """Let what is old count less; called four times a second."""
        for learnt in (*self.whole.values(), *self.failed.values()):
            learnt.fade()

    def _learnt(self, route: str) -> _Learnt:
        whole = self.whole[route]
        return whole if whole.runs >= _LEAST_RUNS else self.failed[route]

    def _parents(self, expires_ms: int) -> list[RunCalls]:
        earliest = expires_ms - LATEST_MS
        return [
            run
            for moment in range(earliest, expires_ms + EARLIEST_MS + 1)
            for run in self.under_way.get(moment, ())
        ]

    def _share(self, route: str, called: str) -> float:
        learnt = self._learnt(route)
        return (learnt.calls[called] + _FIRST_SHARE) / (learnt.runs + 1.0)


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
