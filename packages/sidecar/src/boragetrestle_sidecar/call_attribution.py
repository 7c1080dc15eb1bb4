"""Learn which onward calls the runs on each route make.

A node sees the runs at its target and the calls that the target makes, but
nothing ties a call to its run. Each call is attributed to the routes of the
runs that are under way, in proportion to how often runs on each were found to
make such calls; over a few hundred calls this settles on the true shares.
"""

from collections import Counter, defaultdict

KEPT_SHARE = 0.97  # of what was learnt, each quarter of a second: about 8 s
_FIRST_SHARE = 0.5  # calls a run that a new pair of routes starts from
_LEAST_RUNS = 5.0  # fewer runs say too little
# Runs that fail end before they have made all their calls: while more than this
# share fails, what was learnt before is kept.
MOST_FAILING = 0.1
SETTLED_RUNS = 40  # that went through, before what was learnt can be kept
FAILING_WEIGHT = 0.05  # of the newest run: the last 20 or so count
LEAST_CALLS = 0.15  # calls a run below this are taken for noise


class CallAttribution:
    """Count runs by route and attribute calls to them.

    >>> learnt = CallAttribution()
    >>> for _ in range(10):
    ...     learnt.started('walks')
    ...     learnt.called('seats')
    ...     learnt.called('seats')
    ...     learnt.ended('walks')
    >>> learnt.calls_of('walks')
    {'seats': 2.0}
    """

    def __init__(self) -> None:
        self.under_way: Counter[str] = Counter()
        self.runs: defaultdict[str, float] = defaultdict(float)
        self.calls: dict[str, dict[str, float]] = {}
        self.failing: dict[str, float] = {}
        self.whole_runs: Counter[str] = Counter()
        self.settled: dict[str, dict[str, float]] = {}

    def started(self, route: str) -> None:
        """Note that a run began."""
        self.under_way[route] += 1
        if not self._is_failing(route):
            self.runs[route] += 1

    def ended(self, route: str) -> None:
        """Note that a run ended."""
        self.under_way[route] -= 1

    def note_result(self, route: str, *, is_whole: bool) -> None:
        """Take whether a run went through to its end."""
        self.whole_runs[route] += is_whole
        known = self.failing.get(route, 0.0)
        change = float(not is_whole) - known
        self.failing[route] = known + FAILING_WEIGHT * change

    def called(self, called: str) -> None:
        """Attribute a call to the runs that are under way."""
        weights = {
            route: count * self._share(route, called)
            for route, count in self.under_way.items()
            if count > 0
        }
        total = sum(weights.values())
        if total <= 0:
            return
        for route, weight in weights.items():
            if not self._is_failing(route):
                by_called = self.calls.setdefault(route, {})
                known = by_called.get(called, 0.0)
                by_called[called] = known + weight / total

    def calls_of(self, route: str) -> dict[str, float]:
        """Return how many calls a run makes, by the route they take."""
        if self._is_failing(route):
            return self.settled[route]
        runs = self.runs[route]
        if runs < _LEAST_RUNS:
            return {}
        return {
            called: round(count / runs, 3)
            for called, count in self.calls.get(route, {}).items()
            if count / runs > LEAST_CALLS
        }

    def fade(self) -> None:
        """Let what is old count less; called four times a second."""
        for route in self.runs:
            learnt = self.calls_of(route)
            if learnt and self.whole_runs[route] >= SETTLED_RUNS:
                self.settled[route] = learnt
        for route in self.runs:
            self.runs[route] *= KEPT_SHARE
        for by_called in self.calls.values():
            for called in by_called:
                by_called[called] *= KEPT_SHARE

    def _is_failing(self, route: str) -> bool:
        """Return whether what was learnt before is kept."""
        is_failing = self.failing.get(route, 0.0) > MOST_FAILING
        return is_failing and route in self.settled

    def _share(self, route: str, called: str) -> float:
        known = self.calls.get(route, {}).get(called, 0.0)
        return (known + _FIRST_SHARE) / (self.runs[route] + 1.0)
