"""What a node reports of itself to the total of the fleet."""

from typing import NamedTuple

from boragetrestle_sidecar.peer_numbers import Amount
from boragetrestle_sidecar.returning_slots import ReturningSlots


class RouteCost(NamedTuple):
    """Mean cost of a run on a route: its duration and its onward calls.

    An onward call is one that a target makes while it serves a call. ``calls``
    holds the mean number of onward calls for each run, by the route they take.
    ``runs`` is the number of recent runs behind ``calls``; with 0 the calls are
    unknown.
    """

    route: str
    calls: dict[str, Amount]
    run_seconds: Amount
    runs: Amount


class NodeStatus(NamedTuple):
    """The state of a node at one moment.

    ``service`` is the service of the target beside the node; ``is_open`` tells
    whether the guard, which enforces the target's limits, accepts runs.
    ``limit`` is how many runs the guard admits to the target at once,
    ``waiting`` how many wait, ``run_seconds`` how long one takes.
    ``arrivals`` holds the callers' requests per second by route, ``costs`` the
    measured cost of the runs at the target. ``returning`` are the slots that it
    gets back when its target is warm.
    """

    service: str
    is_open: bool
    limit: float
    waiting: int
    run_seconds: float
    arrivals: dict[str, float]
    costs: list[RouteCost]
    returning: ReturningSlots = ReturningSlots()
