"""Measure how long the runs at a target take and how many fail."""

NEWEST_RUN_WEIGHT = 0.05  # averages over about the last 20 runs
# A target that is avoided because of failures gets no runs that could show its
# recovery, so without new results the failure share decays with this half-life.
FAILURE_HALF_LIFE_SECONDS = 2.0
# Consecutive failures show sooner than the mean that a target is failing: after
# n of them, at least 1 - CONSECUTIVE_FAILURE_BASE**n of its runs count as
# expected to fail.
CONSECUTIVE_FAILURE_BASE = 0.7
# Runs that time out hold their slots for the whole time limit, so few end.
TIMED_OUT_RUN_WEIGHT = 0.2
ASSUMED_RUN_SECONDS = 0.05  # until the first run has ended


class RunMeter:
    """Measure run times, by route, and failures at one target.

    >>> meter = RunMeter()
    >>> meter.record_run_time('walks', 0.2)
    >>> meter.run_seconds, meter.run_seconds_by_route
    (0.2, {'walks': 0.2})
    """

    def __init__(self) -> None:
        self.run_seconds = ASSUMED_RUN_SECONDS
        self.run_seconds_by_route: dict[str, float] = {}
        self.has_ended = False
        self.mean_failing_share = 0.0
        self.consecutive_failures = 0
        self.last_result_at = 0.0

    def failing_share(self, now: float) -> float:
        """Return the share of runs that is expected to fail.

        >>> meter = RunMeter()
        >>> for _ in range(5):
        ...     meter.record_result(is_failure=True, now=10.0)
        >>> round(meter.failing_share(10.0), 2)
        0.83
        >>> round(meter.failing_share(12.0), 2)
        0.42
        """
        in_row = 1.0 - CONSECUTIVE_FAILURE_BASE**self.consecutive_failures
        return max(self.mean_failing_share, in_row) * self._decay_factor(now)

    def record_result(self, *, is_failure: bool, now: float) -> None:
        """Record whether a run failed at the target."""
        self.mean_failing_share *= self._decay_factor(now)
        change = float(is_failure) - self.mean_failing_share
        self.mean_failing_share += NEWEST_RUN_WEIGHT * change
        self.consecutive_failures = (
            self.consecutive_failures + 1 if is_failure else 0
        )
        self.last_result_at = now

    def _decay_factor(self, now: float) -> float:
        age = max(0.0, now - self.last_result_at)
        return float(0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))

    def record_run_time(
        self,
        route: str,
        seconds: float,
        *,
        slowdown: float = 1.0,
    ) -> None:
        """Record how many seconds a run held its slot.

        The mean over all routes is what runs take on a target without slowdown.
        The times by route stay as measured, since the admission plan counts the
        slots that they hold.
        """
        usual_seconds = seconds / slowdown
        if self.has_ended:
            change = usual_seconds - self.run_seconds
            self.run_seconds += NEWEST_RUN_WEIGHT * change
        else:
            self.run_seconds = usual_seconds
            self.has_ended = True
        known = self.run_seconds_by_route.get(route)
        if known is None:
            self.run_seconds_by_route[route] = seconds
        else:
            self.run_seconds_by_route[route] = known + NEWEST_RUN_WEIGHT * (
                seconds - known
            )

    def record_timeout(self, seconds: float, *, slowdown: float = 1.0) -> None:
        """Record that a run had not ended after this many seconds.

        It takes at least that long. Without this, a target that has become too
        slow to end any run in time would keep its earlier, quick run time.

        >>> meter = RunMeter()
        >>> meter.record_run_time('walks', 0.2)
        >>> meter.record_timeout(1.2)
        >>> meter.record_timeout(0.1)
        >>> round(meter.run_seconds, 2)
        0.4
        """
        change = seconds / slowdown - self.run_seconds
        if change > 0:
            self.run_seconds += TIMED_OUT_RUN_WEIGHT * change
