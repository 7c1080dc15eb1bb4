"""Decayed counts of the calls offered, shed and ended at a guard."""

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_node.load_window import DecayingCount

_MAX_SHED_SHARE = 0.95


class GuardLoad:
    """Count the recent calls at one target with exponential decay."""

    def __init__(self) -> None:
        self.ended = DecayingCount()
        self.offered = [DecayingCount() for _ in CallClass]
        self.shed = [DecayingCount() for _ in CallClass]

    def shed_shares(self) -> tuple[float, ...]:
        """Return the share of offered calls that were shed, by class."""
        return tuple(
            _share(shed.read(), offered.read())
            for shed, offered in zip(self.shed, self.offered, strict=True)
        )

    def expected_wait(self, queued: int) -> float:
        """Return the seconds to serve that many queued calls."""
        return queued / max(1, self.ended.per_second)

    def retry_after(self, queued: int) -> float:
        """Return the seconds after which a shed call may be retried.

        The queue drains at the measured rate while shed calls are retried, so
        the time grows with the share of calls that are shed.
        """
        offered = sum(count.read() for count in self.offered)
        shed = sum(count.read() for count in self.shed)
        share = min(_MAX_SHED_SHARE, _share(shed, offered))
        return self.expected_wait(queued) / (1 - share)


def _share(part: float, whole: float) -> float:
    return min(1, part / max(1, whole))
