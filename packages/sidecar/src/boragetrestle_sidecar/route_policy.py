"""What the configuration says of a route."""

from dataclasses import dataclass

from boragetrestle_kernel.ids import RouteName, ServiceName


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that a route leads to, with its weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """One route: where it leads and how its requests are treated.

    ``time_limit`` and ``goal`` are seconds: the longest that a caller is kept
    waiting, and the response time that the operators aim for. A lower
    ``priority`` is more urgent. Routes without ``needs_key`` carry the onward
    calls of targets.
    """

    name: RouteName
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    may_repeat: bool
    time_limit: float
    goal: float
    max_attempts: int
    priority: int
    needs_key: bool
