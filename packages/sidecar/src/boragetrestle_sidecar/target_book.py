"""What a guard believes of the target beside it."""

from typing import TYPE_CHECKING

from boragetrestle_sidecar.target_report import TargetState

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_kernel.ids import TargetId
    from boragetrestle_sidecar.target_report import TargetReport

MISSED_HEARTBEATS = 4  # a report may come seconds late; four intervals are not


class TargetBook:
    """The newest report of the host's target; older ones change nothing.

    Reports are ordered by the start of the target and then by their sequence,
    so that a delayed report of an earlier incarnation is passed over.
    """

    def __init__(self, address: 'Address', *, heartbeat: float) -> None:
        self.address = address
        self.heartbeat = heartbeat
        self.report: TargetReport | None = None
        self.reported_at = 0.0
        self.left: dict[TargetId, int] = {}

    def accept(self, report: 'TargetReport', now: float) -> bool:
        """Take a report; return whether it names a new incarnation."""
        known = self.report
        if known is not None and report.order <= known.order:
            return False
        if report.address != self.address:
            return False
        is_new = known is None or _incarnation(known) != _incarnation(report)
        self.report = report
        self.reported_at = now
        return is_new

    def leave(self, target: 'TargetId') -> bool:
        """Take a target's word that it leaves; return whether it is known."""
        known = self.report
        if known is None or known.target != target:
            return False
        self.left[target] = known.started_at
        return True

    def takes_work(self, now: float) -> bool:
        """Return whether the target may be sent a request now."""
        report = self.report
        if report is None or report.state is not TargetState.READY:
            return False
        if self.left.get(report.target) == report.started_at:
            return False
        return now - self.reported_at < MISSED_HEARTBEATS * self.heartbeat


def _incarnation(report: 'TargetReport') -> tuple[str, int]:
    return (report.target, report.started_at)
