"""Find the route of a request."""

from collections.abc import Iterable
from typing import NamedTuple

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_kernel.service_text import Route, Service

_ONE = '*'
_REST = '**'


class RouteMatch(NamedTuple):
    """A service and the route of it that a request takes."""

    service: ServiceName
    route: Route


class RouteTable:
    """Routes of all services; the more literal pattern wins.

    The first path segment is the name of the service.

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
        """Build the table of some services."""
        return cls({
            service.name: _compile_service(service) for service in services
        })

    def find(self, method: str, path: str) -> RouteMatch | None:
        """Return the match of a method and a path without its query."""
        name, _, rest = path.lstrip('/').partition('/')
        segments = rest.split('/') if rest else []
        for pattern, match in self.routes.get(name, ()):
            if match.route.method == method and _fits(pattern, segments):
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
    return sorted(compiled, key=lambda pair: _generality(pair[0]))


def _generality(pattern: list[str]) -> tuple[int, int, int]:
    return (pattern.count(_REST), pattern.count(_ONE), -len(pattern))


def _fits(pattern: list[str], segments: list[str]) -> bool:
    if pattern and pattern[-1] == _REST:
        head = pattern[:-1]
        if len(segments) < len(head):
            return False
        segments = segments[: len(head)]
        pattern = head
    if len(pattern) != len(segments):
        return False
    return all(
        part in {_ONE, segment}
        for part, segment in zip(pattern, segments, strict=True)
    )
