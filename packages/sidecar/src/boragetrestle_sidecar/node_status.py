"""What a node tells the others about itself."""

from typing import NamedTuple


class RouteCost(NamedTuple):
    """Onward calls that a run on a route makes, by the route they take.

    ``runs`` is on how many recent runs ``calls`` rests; with 0 nothing is known
    of the calls.
    """

    route: str
    calls: dict[str, float]
    run_seconds: float
    runs: float


class NodeStatus(NamedTuple):
    """The state of a node at one moment.

    ``service`` is that of the target beside it; ``is_open`` tells whether its
    guard takes runs. ``arrivals`` holds requests of callers a second by
    route, ``costs`` what was learnt of the runs at its target. ``limit`` is
    how many runs the guard holds at once.
    """

    address: str
    domain: str
    version: int
    service: str
    is_open: bool
    limit: int
    running: int
    waiting: int
    run_seconds: float
    failing_share: float
    arrivals: dict[str, float]
    costs: list[RouteCost]
