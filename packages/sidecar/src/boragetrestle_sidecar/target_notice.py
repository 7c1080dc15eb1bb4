"""What nodes remember for each other about a target."""

from typing import NamedTuple


class TargetNotice(NamedTuple):
    """What a target has stated that outlasts the node beside it.

    The entries that its guard told remember it and tell the guard again after a
    restart. ``started_at`` tells incarnations with one id apart; ``rate_limit``
    is the requests a second that it takes from all nodes together, or None.
    """

    target: str
    started_at: int
    rate_limit: float | None = None
    is_leaving: bool = False
