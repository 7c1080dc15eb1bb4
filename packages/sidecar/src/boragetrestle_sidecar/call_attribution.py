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

    def started(self, route: str) -> None:
        """Note that a run began."""
        self.under_way[route] += 1
        self.runs[route] += 1

    def ended(self, route: str) -> None:
        """Note that a run ended."""
        self.under_way[route] -= 1

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
            by_called = self.calls.setdefault(route, {})
            by_called[called] = by_called.get(called, 0.0) + weight / total

    def calls_of(self, route: str) -> dict[str, float]:
        """Return how many calls a run makes, by the route they take."""
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
            self.runs[route] *= KEPT_SHARE
        for by_called in self.calls.values():
            for called in by_called:
                by_called[called] *= KEPT_SHARE

    def _share(self, route: str, called: str) -> float:
        known = self.calls.get(route, {}).get(called, 0.0)
        return (known + _FIRST_SHARE) / (self.runs[route] + 1.0)
