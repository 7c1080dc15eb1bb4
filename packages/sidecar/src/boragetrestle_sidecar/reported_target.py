"""The target beside a guard, as it last described itself."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from boragetrestle_kernel.ids import TargetId
from boragetrestle_sidecar.held_reports import HeldReports
from boragetrestle_sidecar.target_drains import TargetDrains
from boragetrestle_sidecar.target_leaves import TargetLeaves, UnreportedLeave
from boragetrestle_sidecar.target_record import TargetRecord, newest_leaves
from boragetrestle_sidecar.target_report import TargetState

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_kernel.ids import ServiceName
    from boragetrestle_sidecar.target_report import TargetReport

# A report may be seconds late, but not by four heartbeat intervals.
MAX_MISSED_HEARTBEATS = 4


class ReportedTarget:
    """The newest report of the host's target; older ones are ignored.

    Reports are ordered by the start of the target and then by their sequence,
    so that a delayed report of an earlier incarnation is ignored. ``record`` is
    what has to outlast this process; ``revision`` grows with each change of it.
    ``outdated`` is the start and sequence before which reports are not used, and
    ``outdated_service`` that of the report that made it so. A node that has
    restarted holds back the first report until it has read the record.

    Another writer may report under a service that does not exist. Until the
    first configuration such a report cannot be told from one of the target, so
    what follows from it is kept neither for other nodes nor for the next process.
    ``confirms`` tells whether a service exists for certain.
    """

    def __init__(
        self,
        address: 'Address',
        *,
        heartbeat: float,
        confirms: 'Callable[[ServiceName], bool]' = lambda _service: True,
    ) -> None:
        self.address = address
        self.heartbeat = heartbeat
        self.confirms = confirms
        self.report: TargetReport | None = None
        self.reported_at = 0.0
        self.leaves = TargetLeaves()
        self.drains = TargetDrains()
        self.outdated = (0, 0)
        self.outdated_service = ''
        self.revision = 0
        self.is_settled = True
        self.overtakes = False
        self.held = HeldReports(heartbeat=heartbeat)

    def await_record(self) -> None:
        """Hold back reports until the record of an earlier process is read."""
        self.is_settled = False

    @property
    def record(self) -> TargetRecord:
        """What has to outlast this process."""
        return TargetRecord(
            *self.outdated,
            left=newest_leaves(self.leaves.starts),
            left_by=newest_leaves(self.leaves.unreported),
            service=self.outdated_service or msgspec.UNSET,
        )

    def apply_record(self, record: TargetRecord) -> 'TargetReport | None':
        """Add what an earlier process knew; return the report held back."""
        for target, started_at in record.left.items():
            if self.leaves.starts.get(TargetId(target), -1) < started_at:
                self.leaves.add(TargetId(target), started_at)
        for left, left_by in record.left_by.items():
            leave = UnreportedLeave(TargetId(left), left_by)
            self.leaves.add_unreported(leave)
        outdated = (record.started_at, record.sequence)
        if outdated > self.outdated:
            self.outdated = outdated
            self.outdated_service = record.service or ''
        if self.report is not None and self._is_outdated(self.report):
            self.report = None
        self.is_settled = True
        return self.held.newest()

    def hold_back(self, report: 'TargetReport', now: float) -> bool:
        """Return whether a report has to wait until more is known."""
        if report.address != self.address:
            return self.report is None and not self.is_settled
        self.held.add(report, now)
        if self._is_outdated(report):
            return True
        if self.is_settled or self.report is not None:
            return False
        is_newest = self.held.newest() is report
        return not (is_newest and self.held.is_confirmed(report))

    def judge(self, knows: 'Callable[[ServiceName], bool]') -> None:
        """Forget the reports of services that no configuration names."""
        self.held.forget_unknown(knows)
        report = self.report
        if report is not None and not knows(report.service):
            self.report = None
        elif report is not None and self.overtakes:
            self._outdate_earlier(report)

    def update(self, report: 'TargetReport', now: float) -> bool:
        """Store a newer report; return whether it is of a new incarnation."""
        known = self.report
        if known is not None and report.sort_key <= known.sort_key:
            return False
        if report.address != self.address or self._is_outdated(report):
            return False
        is_new = known is None or known.incarnation != report.incarnation
        self.overtakes = self._overtakes(report, is_new=is_new)
        if self.confirms(report.service):
            if self.overtakes:
                self._outdate_earlier(report)
        elif report.state is not TargetState.READY:
            self._save_drain(report)
        self.report = report
        self.reported_at = now
        return is_new

    def knows(self, target: 'TargetId') -> bool:
        """Return whether the newest report is of this target."""
        return self.report is not None and self.report.target == target

    def mark_leaving(self, target: 'TargetId') -> bool:
        """Note that a target is leaving; return whether that was not known."""
        known = self.report
        if known is None or known.target != target:
            return False
        was_known = self.leaves.has_left(*known.incarnation)
        self.leaves.add(*known.incarnation)
        self.revision += not was_known
        return not was_known

    def note_leaving(self, target: 'TargetId', started_at: int) -> bool:
        """Note that an incarnation leaves; return whether it is this one.

        It may not have reported to this process yet.
        """
        if self.leaves.starts.get(target, -1) >= started_at:
            return False
        self.leaves.add(target, started_at)
        self.revision += 1
        known = self.report
        return known is not None and known.incarnation == (target, started_at)

    def note_unreported_leave(self, leave: UnreportedLeave) -> bool:
        """Note the leave of a target that had not reported to its node.

        Returns whether that closes the target that has reported meanwhile.
        """
        was_leaving = self.is_leaving
        self.revision += self.leaves.add_unreported(leave)
        return self.is_leaving and not was_leaving

    @property
    def is_leaving(self) -> bool:
        """Whether the target has said that it leaves."""
        report = self.report
        return report is not None and self.leaves.has_left(*report.incarnation)

    @property
    def unreported_leave(self) -> UnreportedLeave | None:
        """The newest leave that a late report could still undo.

        Those from before the start of the reported target are over.
        """
        leave = self.leaves.newest_unreported
        report = self.report
        if leave is not None and report is not None:
            if report.started_at > leave.left_by:
                return None
        return leave

    @property
    def has_announced_end(self) -> bool:
        """Whether the target drains or leaves, so that its end is no crash."""
        report = self.report
        if report is None:
            return False
        return report.state is not TargetState.READY or self.is_leaving

    @property
    def drain_sequence(self) -> int | None:
        """The sequence of the newest report if the target drains in it.

        Nodes take reports of all earlier targets for outdated by it.
        """
        report = self.report
        if report is None or report.state is TargetState.READY:
            return None
        if not self.confirms(report.service):
            return None
        return report.sequence

    def is_available(self, now: float) -> bool:
        """Return whether the target accepts requests now."""
        report = self.report
        if report is None or report.state is not TargetState.READY:
            return False
        if self.is_leaving:
            return False
        if self._is_outdated(report):
            return False
        return now - self.reported_at < MAX_MISSED_HEARTBEATS * self.heartbeat

    def _overtakes(self, report: 'TargetReport', *, is_new: bool) -> bool:
        """Return whether earlier reports must not be used after a restart.

        These are the ones of earlier incarnations, and those from before the
        target drained or became cold again.
        """
        known = self.report
        earlier_start, _sequence = self.outdated
        if report.sort_key < self.outdated:
            return True
        if known is None:
            return report.state is not TargetState.READY or (
                0 < earlier_start < report.started_at
            )
        is_cold_again = report.cold_seconds > 0 and not known.cold_seconds
        has_turned = report.state is not known.state
        # Nothing has been saved of a report that could not be judged.
        is_unsaved = self.overtakes and not self.confirms(known.service)
        return is_new or is_cold_again or has_turned or is_unsaved

    def _outdate_earlier(self, report: 'TargetReport') -> None:
        """Take all reports before this one for outdated, also later on."""
        if self.outdated == report.sort_key:
            return
        self.outdated = report.sort_key
        self.outdated_service = report.service
        self.revision += 1

    def _save_drain(self, report: 'TargetReport') -> None:
        """Keep a drain that cannot be judged yet for its own incarnation."""
        if not self.leaves.has_left(*report.incarnation):
            self.leaves.add(*report.incarnation)
            self.revision += 1

    def _is_outdated(self, report: 'TargetReport') -> bool:
        """Return whether a report is from before another that is known.

        What nodes of earlier builds remember may come from another writer. It
        holds against late reports, but not against a target that reports on.
        """
        if self.drains.covers(report):
            return True
        is_before_saved = report.sort_key < self.outdated
        if is_before_saved and self.outdated_service:
            return True
        if is_before_saved or report.sort_key <= self.drains.newest:
            return not self.held.is_confirmed(report)
        return False
