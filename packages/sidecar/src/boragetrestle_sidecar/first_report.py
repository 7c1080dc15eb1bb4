"""Hold back the first report of a target that could be outdated."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_sidecar.target_report import TargetReport

# Of the heartbeat interval: reports that were delayed together arrive in
# quicker succession.
MIN_CONFIRMING_FRACTION = 0.5


class FirstReport:
    """The newest report that a node holds back while it knows nothing else.

    A node that has restarted cannot tell a late report from a current one until
    it has read what the process before saved.
    """

    def __init__(self, *, heartbeat: float) -> None:
        self.heartbeat = heartbeat
        self.report: TargetReport | None = None
        self.since = 0.0

    def hold_back(self, report: 'TargetReport', now: float) -> bool:
        """Hold back a report; return false if it may be used all the same.

        It may if the same incarnation has reported about a heartbeat before:
        a target that has been replaced or has left no longer does.
        """
        held = self.report
        if held is not None and report.sort_key <= held.sort_key:
            return True
        if held is None or held.incarnation != report.incarnation:
            self.since = now
        self.report = report
        return now - self.since < MIN_CONFIRMING_FRACTION * self.heartbeat

    def release(self) -> 'TargetReport | None':
        """Return the report and hold it back no longer."""
        report = self.report
        self.report = None
        return report
