"""A limit that grows by steps and falls by a share."""

from boragetrestle_node.limit_policy import CallEnd, LimitSample, limit_policy

_DECREASE = 0.9
_USED_SHARE = 0.5
_CUTS = frozenset((CallEnd.SHED, CallEnd.TIMED_OUT))


@limit_policy('additive-increase')
class AdditiveIncreaseLimit:
    """Add a slot for each round of answers, cut when the target overloads.

    A target overloads when it sheds a call or does not end one in time. One cut
    is made for a round of calls, since calls that ran together fail together.
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
        if sample.end in _CUTS:
            self._cut()
        elif sample.end is CallEnd.ANSWERED:
            self._grow(sample)

    def _cut(self) -> None:
        if self.since_cut >= self.limit:
            self.wanted = max(1, self.limit * _DECREASE)
            self.since_cut = 0

    def _grow(self, sample: LimitSample) -> None:
        if sample.in_use >= _USED_SHARE * self.limit:
            grown = self.wanted + sample.calls / max(1, self.limit)
            self.wanted = min(grown, self.ceiling)
