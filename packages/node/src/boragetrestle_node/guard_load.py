"""Counts of what a guard admitted, shed and saw end."""

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_node.load_window import DecayingCount

_MOST_SHED_SHARE = 0.95


class GuardLoad:
    """Count the calls of the last seconds at one target."""

    def __init__(self) -> None:
        self.ended = DecayingCount()
        self.offered = [DecayingCount() for _ in CallClass]
        self.shed = [DecayingCount() for _ in CallClass]

    def shed_shares(self) -> tuple[float, ...]:
        """Return the share of calls shed by class."""
        return tuple(
            _share(shed.read(), offered.read())
            for shed, offered in zip(self.shed, self.offered, strict=True)
        )

    def expected_wait(self, queued: int) -> float:
        """Return the seconds until as many calls have found a slot."""
        return queued / max(1, self.ended.per_second)

    def retry_after(self, queued: int) -> float:
        """Return the seconds after which the calls shed now would fit.

        The queue drains at the measured rate, and those shed come back as well:
        the greater their share, the longer it takes to serve them all.
        """
        offered = sum(count.read() for count in self.offered)
        shed = sum(count.read() for count in self.shed)
        share = min(_MOST_SHED_SHARE, _share(shed, offered))
        return self.expected_wait(queued) / (1 - share)


def _share(part: float, whole: float) -> float:
    return min(1, part / max(1, whole))
