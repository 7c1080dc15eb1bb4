"""How long runs hold a slot and which onward calls they make."""

RUN_WEIGHT = 0.05  # of the newest run in the mean: the last 20 or so count
# A target that is avoided for its failures has no runs that could show it well
# again: what is known of them counts half after this time without a result.
FORGET_SECONDS = 2.0
# Failures in a row tell sooner than the mean that a target has turned bad.
ROW_SHARE = 0.7
FIRST_RUN_SECONDS = 0.05  # assumed before the first run has ended


class RunMeter:
    """Measure the runs at one target, by route.

    >>> meter = RunMeter()
    >>> meter.end('walks', 0.2)
    >>> meter.run_seconds, meter.by_route
    (0.2, {'walks': 0.2})
    """

    def __init__(self) -> None:
        self.run_seconds = FIRST_RUN_SECONDS
        self.by_route: dict[str, float] = {}
        self.has_ended = False
        self.mean_failing = 0.0
        self.failing_row = 0
        self.result_at = 0.0

    def failing_share(self, now: float) -> float:
        """Return the share of runs that is expected to fail.

        >>> meter = RunMeter()
        >>> for _ in range(5):
        ...     meter.note_failure(is_failure=True, now=10.0)
        >>> round(meter.failing_share(10.0), 2)
        0.83
        >>> round(meter.failing_share(12.0), 2)
        0.42
        """
        in_row = 1.0 - ROW_SHARE**self.failing_row
        return max(self.mean_failing, in_row) * self._kept_share(now)

    @property
    def known_run_seconds(self) -> float:
        """The mean time of a run, 0 before the first has ended."""
        return self.run_seconds if self.has_ended else 0.0

    def note_failure(self, *, is_failure: bool, now: float) -> None:
        """Take whether a run failed at the target."""
        self.mean_failing *= self._kept_share(now)
        change = float(is_failure) - self.mean_failing
        self.mean_failing += RUN_WEIGHT * change
        self.failing_row = self.failing_row + 1 if is_failure else 0
        self.result_at = now

    def _kept_share(self, now: float) -> float:
        age = max(0.0, now - self.result_at)
        return float(0.5 ** (age / FORGET_SECONDS))

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
