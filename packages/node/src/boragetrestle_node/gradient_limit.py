"""A limit that follows the gradient of latency."""

import math

import trio

from boragetrestle_node.limit_policy import CallEnd, LimitSample, limit_policy

_SHORT_SAMPLES = 100
_FALL_SAMPLES = 400
_LEARN_SAMPLES = 100
_FIRST_SHARE = 0.25
_LEAST_SHARE = 0.25
_RISE_SECONDS = 60.0
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
    limit moves towards the gradient of itself plus room for growth. Latency alone
    lowers it to a share of the ceiling at most, since calls also slow down when
    a service deeper in the chain does; shed calls lower it further.
    """

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.wanted = max(1, _FIRST_SHARE * ceiling)
        self.short = 0.0
        self.long = 0.0
        self.seen = 0
        self.measured_at = trio.current_time()
        self.since_change = 0

    @property
    def limit(self) -> float:
        """The calls that may run at once."""
        return min(self.wanted, self.ceiling)

    def learn(self, sample: LimitSample) -> None:
        """Take ended calls into account."""
        self.since_change += sample.calls
        if sample.end is CallEnd.SHED:
            self._change(self.limit * _SHED_DECREASE, least=1)
        elif sample.end in {CallEnd.ANSWERED, CallEnd.TIMED_OUT}:
            self._measure(sample)
            is_known = self.seen > _LEARN_SAMPLES
            if is_known and sample.in_use >= _USED_SHARE * self.limit:
                least = self.ceiling * _LEAST_SHARE
                self._change(self._target(), least=least)

    def _measure(self, sample: LimitSample) -> None:
        self.seen += sample.calls
        weight = sample.calls / min(self.seen, _SHORT_SAMPLES)
        self.short += min(1, weight) * (sample.seconds - self.short)
        if self.seen <= _LEARN_SAMPLES:
            self.long = self.short
        self._follow(sample.calls)

    def _follow(self, calls: int) -> None:
        """Move the long-term latency: fast when it falls, slow when it rises.

        A target that is overloaded for seconds must not become the measure.
        """
        now = trio.current_time()
        elapsed = now - self.measured_at
        self.measured_at = now
        weight = (
            elapsed / _RISE_SECONDS
            if self.short > self.long
            else calls / _FALL_SAMPLES
        )
        self.long += min(1, weight) * (self.short - self.long)

    def _target(self) -> float:
        gradient = _TOLERANCE * self.long / max(self.short, _LEAST_SECONDS)
        bounded = min(1, max(_LEAST_GRADIENT, gradient))
        return self.limit * bounded + math.sqrt(self.limit)

    def _change(self, towards: float, *, least: float) -> None:
        if self.since_change < self.limit:
            return
        self.since_change = 0
        moved = self.limit + _SMOOTHING * (towards - self.limit)
        lowest = max(1, min(least, self.limit))
        self.wanted = min(self.ceiling, max(lowest, moved))
