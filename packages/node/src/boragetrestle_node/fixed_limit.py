"""Concurrency limit that stays at what the target declared."""

from boragetrestle_node.limit_policy import LimitSample, limit_policy


@limit_policy('fixed')
class FixedLimit:
    """Allow the declared number of calls, whatever the latency or errors."""

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling

    @property
    def limit(self) -> float:
        """The declared number of calls."""
        return self.ceiling

    def update(self, _sample: LimitSample) -> None:
        """Ignore the sample: the limit never changes."""
