"""Concurrency limit with additive increase and multiplicative decrease."""

from boragetrestle_node.limit_policy import CallEnd, LimitSample, limit_policy

_DECREASE_FACTOR = 0.9
_MIN_USED_SHARE = 0.5
_REGAINED_SHARE_PER_ROUND = 0.25
_MIN_CEILING_SHARE: dict[CallEnd, float] = {
    CallEnd.SHED: 0,
    CallEnd.TIMED_OUT: 0.5,
}


@limit_policy('additive-increase')
class AdditiveIncreaseLimit:
    """Add slots with each round of answers, cut them on overload.

    A target is overloaded when it sheds a call or does not end one in time. The
    limit is cut once per round (as many calls as the limit), since calls that
    ran together fail together. Calls that do not end in time don't lower it
    below half of the ceiling, since a service deeper in the chain may be the
    cause. Each round of answers regains a quarter of the slots missing to the
    ceiling, and at least one slot.
    """

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.computed_limit = float(ceiling)
        self.calls_since_cut = 0

    @property
    def limit(self) -> float:
        """The calls that may run at once."""
        return min(self.computed_limit, self.ceiling)

    def update(self, sample: LimitSample) -> None:
        """Update the limit from a sample of ended calls."""
        self.calls_since_cut += sample.calls
        least = _MIN_CEILING_SHARE.get(sample.end)
        if least is not None:
            self._cut(least * self.ceiling)
        elif sample.end is CallEnd.ANSWERED:
            self._grow(sample)

    def _cut(self, least: float) -> None:
        is_due = self.calls_since_cut >= self.limit
        if is_due and self.limit > least:
            self.computed_limit = max(1, least, self.limit * _DECREASE_FACTOR)
            self.calls_since_cut = 0

    def _grow(self, sample: LimitSample) -> None:
        if sample.in_use >= _MIN_USED_SHARE * self.limit:
            missing = self.ceiling - self.limit
            step = max(1, _REGAINED_SHARE_PER_ROUND * missing)
            grown = self.computed_limit + step * sample.calls / max(
                1, self.limit
            )
            self.computed_limit = min(grown, self.ceiling)
