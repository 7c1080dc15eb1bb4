"""Concurrency limit that follows the gradient of latency."""

import math

import trio

from boragetrestle_node.limit_policy import CallEnd, LimitSample, limit_policy

_RECENT_SAMPLES = 100
_BASELINE_FALL_SAMPLES = 400
_WARM_UP_SAMPLES = 100
_INITIAL_CEILING_SHARE = 0.25
_MIN_CEILING_SHARE = 0.25
_BASELINE_RISE_SECONDS = 60.0
_LATENCY_TOLERANCE_RATIO = 1.5
_MIN_GRADIENT = 0.5
_LIMIT_SMOOTHING = 0.2
_SHED_DECREASE_FACTOR = 0.9
_MIN_USED_SHARE = 0.5
_MIN_LATENCY_SECONDS = 0.000_001


@limit_policy('gradient')
class GradientLimit:
    """Lower the limit while calls take longer than in the long term.

    The gradient is the long-term latency divided by the recent one, within
    bounds. The limit moves towards itself times the gradient, plus its square
    root as room for growth. Latency alone doesn't lower it below a fixed share
    of the ceiling, since calls also slow down when a service deeper in the
    chain does; shed calls lower it further.
    """

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.computed_limit = max(1, _INITIAL_CEILING_SHARE * ceiling)
        self.recent_latency = 0.0
        self.baseline_latency = 0.0
        self.samples_seen = 0
        self.baseline_updated_at = trio.current_time()
        self.calls_since_change = 0

    @property
    def limit(self) -> float:
        """The calls that may run at once."""
        return min(self.computed_limit, self.ceiling)

    def update(self, sample: LimitSample) -> None:
        """Update the limit from a sample of ended calls."""
        self.calls_since_change += sample.calls
        if sample.end is CallEnd.SHED:
            self._move_limit(self.limit * _SHED_DECREASE_FACTOR, least=1)
        elif sample.end in {CallEnd.ANSWERED, CallEnd.TIMED_OUT}:
            self._update_latencies(sample)
            is_warmed_up = self.samples_seen > _WARM_UP_SAMPLES
            if is_warmed_up and sample.in_use >= _MIN_USED_SHARE * self.limit:
                least = self.ceiling * _MIN_CEILING_SHARE
                self._move_limit(self._gradient_limit(), least=least)

    def _update_latencies(self, sample: LimitSample) -> None:
        self.samples_seen += sample.calls
        weight = sample.calls / min(self.samples_seen, _RECENT_SAMPLES)
        self.recent_latency += min(1, weight) * (
            sample.seconds - self.recent_latency
        )
        if self.samples_seen <= _WARM_UP_SAMPLES:
            self.baseline_latency = self.recent_latency
        self._update_baseline(sample.calls)

    def _update_baseline(self, calls: int) -> None:
        """Update the long-term latency: fast down, slowly up.

        A target that is overloaded for seconds must not raise the baseline.
        """
        now = trio.current_time()
        elapsed = now - self.baseline_updated_at
        self.baseline_updated_at = now
        weight = (
            elapsed / _BASELINE_RISE_SECONDS
            if self.recent_latency > self.baseline_latency
            else calls / _BASELINE_FALL_SAMPLES
        )
        self.baseline_latency += min(1, weight) * (
            self.recent_latency - self.baseline_latency
        )

    def _gradient_limit(self) -> float:
        gradient = (
            _LATENCY_TOLERANCE_RATIO
            * self.baseline_latency
            / max(self.recent_latency, _MIN_LATENCY_SECONDS)
        )
        bounded = min(1, max(_MIN_GRADIENT, gradient))
        return self.limit * bounded + math.sqrt(self.limit)

    def _move_limit(self, goal: float, *, least: float) -> None:
        if self.calls_since_change < self.limit:
            return
        self.calls_since_change = 0
        moved = self.limit + _LIMIT_SMOOTHING * (goal - self.limit)
        lowest = max(1, min(least, self.limit))
        self.computed_limit = min(self.ceiling, max(lowest, moved))
