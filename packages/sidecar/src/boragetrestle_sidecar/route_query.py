"""Answer ``GET /route`` of operators."""

from collections import deque
from collections.abc import Callable, Iterable
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qs

import msgspec

from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.endpoint_server import EndpointAnswer
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.route_explanation import RouteExplainer
    from boragetrestle_sidecar.route_policy import RoutePolicy

ROUTE_PATH = '/route'
# An explanation takes as much processor time as a few requests.
MAX_ANSWERS_PER_SECOND = 5
MAX_FIELDS = 8  # more than the query has, so that unknown ones are ignored
MAX_NAMED = 20  # hosts or prefixes that an error message names


class QueryFault(StrEnum):
    """Why a question about a route has no answer."""

    TOO_MANY = 'asked-too-often'
    MALFORMED = 'query-malformed'
    NO_CONFIGURATION = 'no-configuration'
    NO_ROUTE = 'no-route'
    NO_ORGANISATION = 'organisation-unknown'


_STATUSES: dict[QueryFault, HTTPStatus] = {
    QueryFault.TOO_MANY: HTTPStatus.TOO_MANY_REQUESTS,
    QueryFault.MALFORMED: HTTPStatus.BAD_REQUEST,
    QueryFault.NO_CONFIGURATION: HTTPStatus.SERVICE_UNAVAILABLE,
    QueryFault.NO_ROUTE: HTTPStatus.NOT_FOUND,
    QueryFault.NO_ORGANISATION: HTTPStatus.NOT_FOUND,
}


class RouteQuery(NamedTuple):
    """A question about one request; ``organisation`` may be empty."""

    host: str
    path: str
    organisation: str = ''

    @classmethod
    def parse(cls, request_target: bytes) -> 'RouteQuery | None':
        """Return the question, or ``None`` for a malformed one.

        >>> RouteQuery.parse(b'/route?host=example:80&path=/walks/1%3Fday=2')
        RouteQuery(host='example', path='/walks/1', organisation='')
        >>> RouteQuery.parse(b'/route?host=example') is None
        True
        """
        query = request_target.partition(b'?')[2].decode('latin-1')
        try:
            fields = parse_qs(query, max_num_fields=MAX_FIELDS)
        except ValueError:
            return None
        if any(len(given) > 1 for given in fields.values()):
            return None
        host, path, organisation = (
            fields.get(name, [''])[0]
            for name in ('host', 'path', 'organisation')
        )
        if not host or not path:
            return None
        asked = CallerRequest(
            b'GET', path.encode(), headers=[(b'host', host.encode())]
        )
        return cls(asked.host, asked.path, organisation)


class RouteQueries:
    """Answer questions about routes, a few a second.

    The answer is the explanation as JSON, or the code of a ``QueryFault`` with
    a message and a remedy.
    """

    def __init__(
        self,
        explainer: 'RouteExplainer',
        *,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.explainer = explainer
        self.clock = clock
        self.answered_at: deque[float] = deque(maxlen=MAX_ANSWERS_PER_SECOND)

    def answer(self, request: 'CallerRequest') -> EndpointAnswer:
        """Answer one question."""
        now = self.clock()
        newest = self.answered_at
        if len(newest) == newest.maxlen and now - newest[0] < 1:
            return _fault(
                QueryFault.TOO_MANY,
                f'the node answers {MAX_ANSWERS_PER_SECOND} questions a second',
                remedy='ask again in a second',
            )
        newest.append(now)
        query = RouteQuery.parse(request.request_target)
        if query is None:
            return _fault(
                QueryFault.MALFORMED,
                'host or path is missing, or a field is given twice',
                remedy='ask for /route?host=HOST&path=PATH',
            )
        configuration = self.explainer.entry.configuration
        if configuration is None:
            return _fault(
                QueryFault.NO_CONFIGURATION,
                'the node has no configuration yet',
                remedy='check that it reaches the store or another node',
            )
        return self._answer_from(configuration, query)

    def _answer_from(
        self,
        configuration: 'Configuration',
        query: RouteQuery,
    ) -> EndpointAnswer:
        route = configuration.find_route(query.host, query.path)
        if route is None:
            return _no_route(configuration, query)
        organisation = configuration.organisations.get(query.organisation)
        if query.organisation and organisation is None:
            return _fault(
                QueryFault.NO_ORGANISATION,
                f'version {configuration.version} has no organisation '
                f'{query.organisation!r}',
                remedy='name an organisation as the configuration does',
            )
        return self._explain(route, organisation)

    def _explain(
        self,
        route: 'RoutePolicy',
        organisation: 'OrganisationPolicy | None',
    ) -> EndpointAnswer:
        found = self.explainer.explain(route, organisation)
        return EndpointAnswer(HTTPStatus.OK, msgspec.json.encode(found))


def _no_route(
    configuration: 'Configuration',
    query: RouteQuery,
) -> EndpointAnswer:
    routes = configuration.routes_by_host.get(query.host.lower())
    if routes is None:
        return _fault(
            QueryFault.NO_ROUTE,
            f'version {configuration.version} has no route of host '
            f'{query.host!r}',
            remedy=f'its hosts are {_listed(configuration.routes_by_host)}',
        )
    prefixes = _listed(route.prefix for route in routes)
    return _fault(
        QueryFault.NO_ROUTE,
        f'version {configuration.version} has no route of host '
        f'{query.host!r} for the path {query.path!r}',
        remedy=f'the paths of this host begin with {prefixes}',
    )


def _listed(names: Iterable[str]) -> str:
    known = sorted(names)
    shown = ', '.join(known[:MAX_NAMED])
    more = len(known) - MAX_NAMED
    return f'{shown} and {more} more' if more > 0 else shown


def _fault(fault: QueryFault, message: str, *, remedy: str) -> EndpointAnswer:
    body = {'code': fault, 'message': message, 'remedy': remedy}
    return EndpointAnswer(_STATUSES[fault], msgspec.json.encode(body))
