"""Reports of targets that a node cannot judge yet."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import ServiceName, TargetId
    from boragetrestle_sidecar.target_report import TargetReport

# Of the heartbeat interval: reports that were delayed together arrive in
# quicker succession.
MIN_CONFIRMING_FRACTION = 0.5
MAX_HELD_REPORTS = 16  # another writer may report under any id


class _Sender(NamedTuple):
    """Who sends a report; another writer may use the id of a target."""

    target: 'TargetId'
    started_at: int
    service: 'ServiceName'


class _Held(NamedTuple):
    report: 'TargetReport'
    first_at: float
    last_at: float


class HeldReports:
    """The newest report of each sender, and for how long each has reported.

    A node that has restarted cannot tell a late report from a current one until
    it has read what the process before saved, and one without a configuration
    does not know which services exist. A target that runs reports again after a
    heartbeat; one that has been replaced or has left does not.
    """

    def __init__(self, *, heartbeat: float) -> None:
        self.heartbeat = heartbeat
        self.held: dict[_Sender, _Held] = {}

    def add(self, report: 'TargetReport', now: float) -> None:
        """Note a report, unless a newer one of its sender is known."""
        sender = _sender(report)
        known = self.held.get(sender)
        if known is None:
            self.held[sender] = _Held(report, now, now)
        elif known.report.sequence < report.sequence:
            self.held.pop(sender)
            self.held[sender] = _Held(report, known.first_at, now)
        if len(self.held) > MAX_HELD_REPORTS:
            self.held.pop(next(iter(self.held)))

    def is_confirmed(self, report: 'TargetReport') -> bool:
        """Return whether the sender of a report has reported for long enough."""
        known = self.held.get(_sender(report))
        if known is None:
            return False
        shortest = MIN_CONFIRMING_FRACTION * self.heartbeat
        return known.last_at - known.first_at >= shortest

    def newest(self) -> 'TargetReport | None':
        """Return the report of the sender that started last."""
        reports = [held.report for held in self.held.values()]
        return max(reports, key=lambda report: report.sort_key, default=None)

    def forget_unknown(self, knows: 'Callable[[ServiceName], bool]') -> None:
        """Forget the reports of services that are not known."""
        for sender in list(self.held):
            if not knows(sender.service):
                self.held.pop(sender)


def _sender(report: 'TargetReport') -> _Sender:
    return _Sender(*report.incarnation, report.service)
