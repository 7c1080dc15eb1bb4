"""A limit that follows the gradient of latency."""

import math

from boragetrestle_node.limit_policy import CallEnd, LimitSample, limit_policy

_SHORT_SAMPLES = 20
_LONG_SAMPLES = 600
_TOLERANCE = 1.5
_LEAST_GRADIENT = 0.5
_SMOOTHING = 0.2
_SHED_DECREASE = 0.9
_USED_SHARE = 0.5
_LEAST_SECONDS = 0.000_001


@limit_policy('gradient')
class GradientLimit:
    """Lower the limit while calls take longer than they used to.

    The gradient is the long-term latency over the recent one, within bounds. The
    limit moves towards the gradient of itself plus room for growth.
    """

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.wanted = float(ceiling)
        self.short = 0.0
        self.long = 0.0
        self.since_change = 0

    @property
    def limit(self) -> float:
        """The calls that may run at once."""
        return min(self.wanted, self.ceiling)

    def learn(self, sample: LimitSample) -> None:
        """Take ended calls into account."""
        self.since_change += sample.calls
        if sample.end is CallEnd.SHED:
            self._change(self.limit * _SHED_DECREASE)
        elif sample.end in {CallEnd.ANSWERED, CallEnd.TIMED_OUT}:
            self._measure(sample)
            if sample.in_use >= _USED_SHARE * self.limit:
                self._change(self._target())

    def _measure(self, sample: LimitSample) -> None:
        if not self.long:
            self.short = sample.seconds
            self.long = sample.seconds
        weight = min(1, sample.calls / _SHORT_SAMPLES)
        self.short += weight * (sample.seconds - self.short)
        weight = min(1, sample.calls / _LONG_SAMPLES)
        self.long += weight * (sample.seconds - self.long)
        self.long = min(self.long, self.short * _TOLERANCE)

    def _target(self) -> float:
        gradient = _TOLERANCE * self.long / max(self.short, _LEAST_SECONDS)
        bounded = min(1, max(_LEAST_GRADIENT, gradient))
        return self.limit * bounded + math.sqrt(self.limit)

    def _change(self, towards: float) -> None:
        if self.since_change < self.limit:
            return
        self.since_change = 0
        moved = self.limit + _SMOOTHING * (towards - self.limit)
        self.wanted = min(self.ceiling, max(1, moved))
