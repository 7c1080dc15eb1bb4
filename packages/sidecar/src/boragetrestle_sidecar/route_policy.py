"""The configuration of one route."""

from dataclasses import dataclass

from boragetrestle_kernel.ids import RegionName, RouteName, ServiceName


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that serves a route, with its weight among them."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """One route: the services behind it and how its requests are handled.

    ``time_limit`` and ``goal`` are seconds: the longest that a caller is kept
    waiting, and the response time that the operators aim for. A lower
    ``priority`` is more urgent. Routes without ``needs_key`` carry the onward
    calls of targets (calls that they make while they serve one).
    ``may_repeat`` tells whether a request that may have run can be sent again.
    Requests may be served only in ``regions``; none means in all.
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
    regions: frozenset[RegionName] = frozenset()
