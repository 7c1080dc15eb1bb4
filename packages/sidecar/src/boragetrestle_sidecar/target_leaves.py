"""Which targets beside a guard have said that they leave."""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import TargetId

MAX_LEAVES = 200  # another writer may send leaves under any id


class UnreportedLeave(NamedTuple):
    """A leave of a target that had not reported to this process.

    All its incarnations that started by ``left_by``, in milliseconds of the
    wall clock, have left.
    """

    target: 'TargetId'
    left_by: int


class TargetLeaves:
    """The newest leaves, by the id of the target.

    ``starts`` has the start of the incarnation that left. A leave names an id
    only, so that of a target without a report is kept by its time, in
    ``unreported``.

    >>> leaves = TargetLeaves()
    >>> leaves.add_unreported(UnreportedLeave('t-1', 5000))
    True
    >>> leaves.has_left('t-1', 4000), leaves.has_left('t-1', 6000)
    (True, False)
    """

    def __init__(self) -> None:
        self.starts: dict[TargetId, int] = {}
        self.unreported: dict[TargetId, int] = {}

    def add(self, target: 'TargetId', started_at: int) -> None:
        """Add the leave of one incarnation."""
        _keep_newest(self.starts, target, started_at)

    def add_unreported(self, leave: UnreportedLeave) -> bool:
        """Add the leave of a target whose start is not known.

        Returns whether it is newer than the one known so far.
        """
        known = self.unreported.get(leave.target, -1)
        _keep_newest(self.unreported, leave.target, max(known, leave.left_by))
        return leave.left_by > known

    def has_left(self, target: 'TargetId', started_at: int) -> bool:
        """Return whether an incarnation has said that it leaves."""
        return (
            self.starts.get(target) == started_at
            or self.unreported.get(target, -1) >= started_at
        )

    @property
    def newest_unreported(self) -> UnreportedLeave | None:
        """The newest leave of a target whose start is not known."""
        if not self.unreported:
            return None
        return UnreportedLeave(*next(reversed(self.unreported.items())))


def _keep_newest(
    leaves: 'dict[TargetId, int]',
    target: 'TargetId',
    milliseconds: int,
) -> None:
    leaves.pop(target, None)
    leaves[target] = milliseconds
    if len(leaves) > MAX_LEAVES:
        leaves.pop(next(iter(leaves)))
