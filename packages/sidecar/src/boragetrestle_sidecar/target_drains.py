"""Drains of targets from before this process, as other nodes remember them."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import TargetId
    from boragetrestle_sidecar.target_report import TargetReport

MAX_DRAINS = 16  # an address has one target at a time


class TargetDrains:
    """The sequence of the report in which each incarnation drains.

    >>> drains = TargetDrains()
    >>> drains.add('t-1', 5000, 3)
    >>> drains.newest
    (5000, 3)
    """

    def __init__(self) -> None:
        self.sequences: dict[tuple[TargetId, int], int] = {}
        self.newest = (-1, -1)

    def add(self, target: 'TargetId', started_at: int, sequence: int) -> None:
        """Add a drain; ``newest`` is the start and sequence of the latest."""
        known = self.sequences.pop((target, started_at), -1)
        self.sequences[target, started_at] = max(known, sequence)
        if len(self.sequences) > MAX_DRAINS:
            self.sequences.pop(next(iter(self.sequences)))
        self.newest = max(self.newest, (started_at, sequence))

    def covers(self, report: 'TargetReport') -> bool:
        """Return whether a report is from before a drain of its incarnation."""
        return self.sequences.get(report.incarnation, -1) >= report.sequence
