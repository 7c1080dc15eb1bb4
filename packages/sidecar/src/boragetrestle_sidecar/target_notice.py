"""What nodes remember for each other about a target."""

import sys
from typing import NamedTuple

from boragetrestle_kernel.ids import TargetId
from boragetrestle_sidecar.target_leaves import UnreportedLeave

UNREPORTED_SEQUENCE = sys.maxsize  # no report has this number


class TargetNotice(NamedTuple):
    """What a target has stated that outlasts the node beside it.

    The entries that its guard told remember it and tell the guard again after a
    restart. ``started_at`` tells incarnations with one id apart; ``rate_limit``
    is the requests a second that it takes from all nodes together, or None;
    ``drain_sequence`` the number of the report in which it drains, or None. A
    report that is older may come after it.

    Of a target that left before it reported, ``started_at`` is when it left and
    ``drain_sequence`` is ``UNREPORTED_SEQUENCE``. Nodes that don't know this
    form read that the target drains, which stops them as well.

    >>> notice = TargetNotice.of_unreported(UnreportedLeave('t-1', 5000))
    >>> notice.unreported_leave
    UnreportedLeave(target='t-1', left_by=5000)
    """

    target: str
    started_at: int
    rate_limit: float | None = None
    is_leaving: bool = False
    drain_sequence: int | None = None

    @property
    def says_something(self) -> bool:
        """Whether there is anything to remember."""
        return (
            self.is_leaving
            or self.rate_limit is not None
            or self.drain_sequence is not None
        )

    @classmethod
    def of_unreported(cls, leave: UnreportedLeave) -> 'TargetNotice':
        """Return the notice of a target that left before it reported."""
        return cls(
            leave.target,
            leave.left_by,
            is_leaving=True,
            drain_sequence=UNREPORTED_SEQUENCE,
        )

    @property
    def unreported_leave(self) -> UnreportedLeave | None:
        """The leave of a target that had not reported, if this is one."""
        if self.is_leaving and self.drain_sequence == UNREPORTED_SEQUENCE:
            return UnreportedLeave(TargetId(self.target), self.started_at)
        return None
