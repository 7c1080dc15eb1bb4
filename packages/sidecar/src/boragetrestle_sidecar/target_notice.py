"""What nodes remember for each other about a target."""

from typing import NamedTuple


class TargetNotice(NamedTuple):
    """What a target has stated that outlasts the node beside it.

    The entries that its guard told remember it and tell the guard again after a
    restart. ``started_at`` tells incarnations with one id apart; ``rate_limit``
    is the requests a second that it takes from all nodes together, or None;
    ``drain_sequence`` the number of the report in which it drains, or None. A
    report that is older may come after it.
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
