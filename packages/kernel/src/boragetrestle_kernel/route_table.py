"""Match requests to the routes of services."""

from collections.abc import Iterable
from typing import NamedTuple

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_kernel.service_text import Route, Service

_ANY_SEGMENT = '*'
_ANY_SUFFIX = '**'


class RouteMatch(NamedTuple):
    """The service and the route that a request matches."""

    service: ServiceName
    route: Route


class RouteTable:
    """Routes of all services; the most specific pattern wins.

    The first path segment is the name of the service. Among patterns that
    match, those without ``**`` come first, then those with fewer ``*``, then
    the longer.

    >>> from boragetrestle_kernel.service_text import Route, Service
    >>> walks = Service('walks', routes=(Route('GET', '/seats/*'),))
    >>> table = RouteTable.compile([walks])
    >>> table.find('GET', '/walks/seats/7').route.path
    '/seats/*'
    >>> table.find('GET', '/walks/seats') is None
    True
    """

    def __init__(
        self,
        routes: dict[str, list[tuple[list[str], RouteMatch]]],
    ) -> None:
        self.routes = routes

    @classmethod
    def compile(cls, services: Iterable[Service]) -> 'RouteTable':
        """Compile the routes of services into a table."""
        return cls({
            service.name: _compile_service(service) for service in services
        })

    def find(self, method: str, path: str) -> RouteMatch | None:
        """Return the best match; the path comes without a query string."""
        name, _, rest = path.lstrip('/').partition('/')
        segments = rest.split('/') if rest else []
        for pattern, match in self.routes.get(name, ()):
            if match.route.method == method and _matches_pattern(
                pattern, segments
            ):
                return match
        return None


def _compile_service(service: Service) -> list[tuple[list[str], RouteMatch]]:
    compiled = [
        (
            [part for part in route.path.split('/') if part],
            RouteMatch(ServiceName(service.name), route),
        )
        for route in service.routes
    ]
    return sorted(compiled, key=lambda pair: _specificity_key(pair[0]))


def _specificity_key(pattern: list[str]) -> tuple[int, int, int]:
    return (
        pattern.count(_ANY_SUFFIX),
        pattern.count(_ANY_SEGMENT),
        -len(pattern),
    )


def _matches_pattern(pattern: list[str], segments: list[str]) -> bool:
    if pattern and pattern[-1] == _ANY_SUFFIX:
        head = pattern[:-1]
        if len(segments) < len(head):
            return False
        segments = segments[: len(head)]
        pattern = head
    if len(pattern) != len(segments):
        return False
    return all(
        part in {_ANY_SEGMENT, segment}
        for part, segment in zip(pattern, segments, strict=True)
    )
