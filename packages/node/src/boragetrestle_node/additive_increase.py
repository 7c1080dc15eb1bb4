"""A limit that grows by steps and falls by a share."""

from boragetrestle_node.limit_policy import CallEnd, LimitSample, limit_policy

_DECREASE = 0.9
_USED_SHARE = 0.5
_REGAINED_SHARE = 0.25
_LEAST_SHARE: dict[CallEnd, float] = {
    CallEnd.SHED: 0,
    CallEnd.TIMED_OUT: 0.5,
}


@limit_policy('additive-increase')
class AdditiveIncreaseLimit:
    """Add a slot for each round of answers, cut when the target overloads.

    A target overloads when it sheds a call or does not end one in time. One cut
    is made for a round of calls, since calls that ran together fail together.
    Calls that do not end in time lower the limit to half of the ceiling at most,
    since a service deeper in the chain may be the cause. Each round regains a
    quarter of what is missing, and at least one slot.
    """

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.wanted = float(ceiling)
        self.since_cut = 0

    @property
    def limit(self) -> float:
        """The calls that may run at once."""
        return min(self.wanted, self.ceiling)

    def learn(self, sample: LimitSample) -> None:
        """Take ended calls into account."""
        self.since_cut += sample.calls
        least = _LEAST_SHARE.get(sample.end)
        if least is not None:
            self._cut(least * self.ceiling)
        elif sample.end is CallEnd.ANSWERED:
            self._grow(sample)

    def _cut(self, least: float) -> None:
        is_due = self.since_cut >= self.limit
        if is_due and self.limit > least:
            self.wanted = max(1, least, self.limit * _DECREASE)
            self.since_cut = 0

    def _grow(self, sample: LimitSample) -> None:
        if sample.in_use >= _USED_SHARE * self.limit:
            missing = self.ceiling - self.limit
            step = max(1, _REGAINED_SHARE * missing)
            grown = self.wanted + step * sample.calls / max(1, self.limit)
            self.wanted = min(grown, self.ceiling)
