"""How long runs hold a slot and which onward calls they make."""

RUN_WEIGHT = 0.05  # of the newest run in the mean: the last 20 or so count
FIRST_RUN_SECONDS = 0.05  # assumed before the first run has ended


class RunMeter:
    """Measure the runs at one target, by route.

    >>> meter = RunMeter()
    >>> meter.end('walks', 0.2)
    >>> meter.run_seconds_of('walks')
    0.2
    """

    def __init__(self) -> None:
        self.run_seconds = FIRST_RUN_SECONDS
        self.by_route: dict[str, float] = {}
        self.has_ended = False
        self.failing_share = 0.0

    @property
    def known_run_seconds(self) -> float:
        """The mean time of a run, 0 before the first has ended."""
        return self.run_seconds if self.has_ended else 0.0

    def note_failure(self, *, is_failure: bool) -> None:
        """Take whether a run failed at the target."""
        change = float(is_failure) - self.failing_share
        self.failing_share += RUN_WEIGHT * change

    def end(self, route: str, seconds: float) -> None:
        """Take the time that a run held its slot."""
        if self.has_ended:
            self.run_seconds += RUN_WEIGHT * (seconds - self.run_seconds)
        else:
            self.run_seconds = seconds
            self.has_ended = True
        known = self.by_route.get(route)
        if known is None:
            self.by_route[route] = seconds
        else:
            self.by_route[route] = known + RUN_WEIGHT * (seconds - known)

    def run_seconds_of(self, route: str) -> float:
        """Return the mean time that a run on a route holds its slot."""
        return self.by_route.get(route, self.run_seconds)
