"""Take the requests of callers and bring each to an end."""

from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from boragetrestle_kernel.ids import RequestId
from boragetrestle_sidecar.connection_headers import (
    HOP_HEADERS,
    listed_headers,
)
from boragetrestle_sidecar.entry_request import EntryRequest
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind, Reason
from boragetrestle_sidecar.placement import choose_guard
from boragetrestle_sidecar.run_order import RunOrder
from boragetrestle_sidecar.service_split import ServiceSplit
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.suspects import fingerprint

if TYPE_CHECKING:
    from boragetrestle_sidecar.caller_connection import CallerConnection
    from boragetrestle_sidecar.caller_request import CallerRequest
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.entry_parts import EntryParts
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.path_settings import PathSettings
    from boragetrestle_sidecar.placement import GuardView
    from boragetrestle_sidecar.route_policy import RoutePolicy
    from boragetrestle_sidecar.wire_names import WireNames

# Placements of one request: guards that refuse without sending cost only time.
MAX_PLACEMENTS = 4
# A guard answers at the time limit; this much later it counts as silent.
ANSWER_GRACE_SECONDS = 0.03
# Kept of a caller's time for the way back of the last answer.
RETURN_SECONDS = 0.04
LEAST_RETRY_SECONDS = 0.02  # less than that is not enough for another run
NO_TARGET_RETRY_SECONDS = 0.4  # targets that crash are back after some seconds
_NEEDED_HEADERS = frozenset((b'host', b'close', b'keep-alive'))
_REPEATED_STATUSES = frozenset((
    HTTPStatus.INTERNAL_SERVER_ERROR,
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.SERVICE_UNAVAILABLE,
))


class _Resolved(NamedTuple):
    request_id: RequestId
    route: 'RoutePolicy'
    organisation: 'OrganisationPolicy | None'


class Entry:
    """Decide on each request: refuse it, place it, repeat it, answer it."""

    def __init__(
        self,
        settings: 'PathSettings',
        names: 'WireNames',
        parts: 'EntryParts',
        *,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.settings = settings
        self.names = names
        self.parts = parts
        self.log = parts.log
        self.fleet = parts.fleet
        self.admission = parts.admission
        self.rates = parts.rates
        self.suspects = parts.suspects
        self.telemetry = parts.telemetry
        self.clock = clock
        self.split = ServiceSplit(parts.chance)
        self.configuration: Configuration | None = None
        self.connections: set[CallerConnection] = set()
        self.requests: set[EntryRequest] = set()
        self.arrivals: Counter[str] = Counter()
        self.is_stopping = False
        self.dropped_headers = frozenset((
            *HOP_HEADERS,
            names.time_left,
            names.expected_target,
            names.organisation,
            names.caller_service,
        ))

    def take(
        self,
        connection: 'CallerConnection',
        request: 'CallerRequest',
    ) -> EntryRequest | None:
        """Start a request; return it unless it was refused at once."""
        found = self._resolve(request)
        if isinstance(found, Reason):
            request_id = request.header(self.names.request_id) or b''
            self._refuse_early(connection, found, request_id)
            return None
        started = self._start(connection, request, found)
        self._admit(started)
        return None if started.is_over else started

    def abandon(self, request: EntryRequest) -> None:
        """Give up a request whose caller has closed its connection."""
        if request.is_over:
            return
        self.log.line(
            'caller-gone',
            request=request.shown_id,
            route=request.route.name,
            after=self.clock() - request.arrived_at,
            guard=request.guard,
            state='sent' if request.hop else 'waiting',
        )
        self.telemetry.count(request.route.name, 'abandoned', '')
        if request.hop is not None:
            request.hop.cancel(request.token)
        self._finish(request)

    def sweep(self) -> None:
        """End requests whose guards are silent; called every few ms."""
        now = self.clock()
        for request in list(self.requests):
            if now > request.expires_at + ANSWER_GRACE_SECONDS:
                if request.hop is not None:
                    request.hop.cancel(request.token)
                self._give_up(request, Reason.TIME_LIMIT)

    def _resolve(self, request: 'CallerRequest') -> '_Resolved | Reason':
        """Find the route and the organisation of a request."""
        configuration = self.configuration
        if configuration is None:
            return Reason.NO_CONFIGURATION
        request_id = request.header(self.names.request_id)
        if not request_id:
            return Reason.MALFORMED
        route = configuration.find_route(request.host, request.path)
        if route is None:
            return Reason.NO_ROUTE
        organisation = None
        if route.needs_key and configuration.organisations:
            organisation = configuration.find_organisation(self._key(request))
            if organisation is None:
                return Reason.KEY_UNKNOWN
        return _Resolved(RequestId(request_id), route, organisation)

    def _start(
        self,
        connection: 'CallerConnection',
        request: 'CallerRequest',
        found: '_Resolved',
    ) -> EntryRequest:
        route = found.route
        now = self.clock()
        left = self._time_left(request, route)
        started = EntryRequest(
            connection,
            request,
            found.request_id,
            route,
            self.split.choose(route),
            found.organisation,
            arrived_at=now,
            expires_at=now + min(left - RETURN_SECONDS, route.time_limit),
            goal_at=now + route.goal,
        )
        self.requests.add(started)
        self.parts.budget.earn(started.service)
        if route.needs_key:
            self.arrivals[route.name] += 1
        else:
            self.parts.attribution.called(route.name, now + left)
        return started

    def _admit(self, request: EntryRequest) -> None:
        if self.suspects.crashes and self.suspects.blocks(_print_of(request)):
            self._give_up(request, Reason.SUSPECT, retry_after=1.0)
            return
        refused = self.admission.refuse_for(request)
        if refused:
            self._give_up(request, Reason.SHORTAGE, retry_after=refused)
            return
        policy = request.organisation
        if policy is None or self.rates.take(policy):
            self._place(request)
            return
        self.rates.ask(policy, lambda: self._after_ask(request))

    def _after_ask(self, request: EntryRequest) -> None:
        if request.is_over:
            return
        policy = request.organisation
        assert policy is not None
        if self.rates.take(policy):
            self._place(request)
        else:
            self.admission.give_back(request)
            self._give_up(
                request,
                Reason.RATE_EXCEEDED,
                retry_after=self.rates.retry_after(policy),
            )

    def _place(self, request: EntryRequest) -> None:
        now = self.clock()
        guard = choose_guard(
            self.fleet.guards_of(request.service),
            domain=self.settings.domain,
            avoided=request.avoided,
            is_lively=self.fleet.is_lively,
            chance=self.parts.chance,
        )
        if guard is None:
            reason = request.last_reason or Reason.NO_TARGET
            self._give_up(request, reason, retry_after=NO_TARGET_RETRY_SECONDS)
            return
        if not request.head:
            request.head = self._head(request)
        request.placements += 1
        self._send(request, guard, now)

    def _send(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        now: float,
    ) -> None:
        route = request.route
        order = RunOrder(
            service=request.service,
            route=route.name,
            organisation=_name_of(request.organisation),
            request_id=request.request_id,
            is_call=not route.needs_key,
            may_repeat=route.may_repeat,
            sent_at=now,
            time_left=request.expires_at - now,
            goal_left=request.goal_at - now,
            head=request.head,
            body=request.request.body,
        )
        request.hop = guard.hop
        request.guard = guard.address
        self._log_placement(request, guard, now)
        guard.unconfirmed += 1
        request.token = guard.hop.run(
            order,
            lambda outcome: self._take_outcome(request, guard, outcome),
        )

    def _log_placement(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        now: float,
    ) -> None:
        self.log.line(
            'placed',
            request=request.shown_id,
            route=request.route.name,
            service=request.service,
            guard=guard.address,
            running=guard.running,
            waiting=guard.waiting,
            limit=guard.limit,
            run_seconds=guard.run_seconds,
            failing_share=guard.failing_share,
            load_age=now - guard.heard_at,
            left=request.expires_at - now,
        )

    def _take_outcome(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        outcome: Outcome,
    ) -> None:
        self.fleet.note_outcome(guard, outcome)
        if request.is_over:
            return
        request.hop = None
        if outcome.kind is not OutcomeKind.NOT_SENT:
            request.attempts += 1
        if outcome.kind is OutcomeKind.ANSWERED:
            self._take_answer(request, guard, outcome)
            return
        if outcome.kind is OutcomeKind.UNKNOWN:
            request.may_have_run = True
        request.last_reason = outcome.reason
        request.avoided.append(guard.address)
        if self._may_place_again(request, outcome):
            self._log_retry(request, guard, outcome)
            self._place(request)
        else:
            self._give_up(
                request,
                outcome.reason,
                retry_after=outcome.retry_after or NO_TARGET_RETRY_SECONDS,
            )

    def _take_answer(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        outcome: Outcome,
    ) -> None:
        is_failure = outcome.status in _REPEATED_STATUSES
        if is_failure and self._may_repeat(request, guard, outcome):
            self._log_retry(request, guard, outcome)
            self._place(request)
            return
        seconds = self.clock() - request.arrived_at
        self.telemetry.answered(request.route.name, outcome.status, seconds)
        if is_failure:
            self.log.line(
                'answered-with-failure',
                request=request.shown_id,
                route=request.route.name,
                guard=guard.address,
                status=outcome.status,
                after=seconds,
            )
        if self.suspects.crashes and not is_failure:
            self.suspects.answered(_print_of(request), is_own=True)
        self._finish(request)
        request.connection.answer(outcome.head, outcome.body)

    def _may_repeat(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        outcome: Outcome,
    ) -> bool:
        request.avoided.append(guard.address)
        has_other = any(
            view.is_open and view.address not in request.avoided
            for view in self.fleet.guards_of(request.service)
        )
        return has_other and self._may_place_again(request, outcome)

    def _may_place_again(
        self,
        request: EntryRequest,
        outcome: Outcome,
    ) -> bool:
        """Return whether another target may be sent the request."""
        now = self.clock()
        if request.expires_at - now < LEAST_RETRY_SECONDS:
            return False
        if request.placements >= MAX_PLACEMENTS:
            return False
        if outcome.kind is OutcomeKind.NOT_SENT:
            return outcome.reason is not Reason.EXPIRED
        is_safe = (
            request.route.may_repeat or outcome.kind is OutcomeKind.REJECTED
        )
        if not is_safe or request.attempts >= request.route.max_attempts:
            return False
        costs = self.admission.repeat_costs(request)
        return self.parts.budget.spend(costs)

    def _log_retry(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        outcome: Outcome,
    ) -> None:
        self.telemetry.count(request.route.name, 'placed-again', outcome.reason)
        self.log.line(
            'placed-again',
            request=request.shown_id,
            route=request.route.name,
            guard=guard.address,
            outcome=outcome.kind.name.lower(),
            reason=outcome.reason.value,
            status=outcome.status,
            attempts=request.attempts,
            left=request.expires_at - self.clock(),
        )

    def _give_up(
        self,
        request: EntryRequest,
        reason: Reason,
        *,
        retry_after: float = 0.0,
    ) -> None:
        now = self.clock()
        self.log.line(
            'refused',
            request=request.shown_id,
            route=request.route.name,
            service=request.service,
            organisation=_name_of(request.organisation),
            reason=reason.value,
            may_have_run=request.may_have_run,
            attempts=request.attempts,
            placements=request.placements,
            guard=request.guard,
            after=now - request.arrived_at,
            left=request.expires_at - now,
            retry_after=retry_after,
            version=self.configuration.version if self.configuration else 0,
        )
        self.telemetry.count(request.route.name, 'refused', reason)
        self._finish(request)
        request.connection.refuse(
            reason,
            retry_after=retry_after,
            may_have_run=request.may_have_run,
        )

    def _finish(self, request: EntryRequest) -> None:
        request.is_over = True
        request.hop = None
        self.requests.discard(request)

    def _refuse_early(
        self,
        connection: 'CallerConnection',
        reason: Reason,
        request_id: bytes = b'',
    ) -> None:
        self.log.line(
            'refused',
            request=request_id.decode('latin-1'),
            reason=reason.value,
            version=self.configuration.version if self.configuration else 0,
        )
        self.telemetry.count('', 'refused', reason)
        retry_after = NO_TARGET_RETRY_SECONDS
        if reason is not Reason.NO_CONFIGURATION:
            retry_after = 0.0
        connection.refuse(reason, retry_after=retry_after)

    def _key(self, request: 'CallerRequest') -> str:
        value = request.header(b'authorization') or b''
        scheme, _, key = value.partition(b' ')
        if scheme.lower() != self.names.key_scheme:
            return ''
        return key.strip().decode('latin-1')

    def _time_left(
        self,
        request: 'CallerRequest',
        route: 'RoutePolicy',
    ) -> float:
        stated = request.header(self.names.time_left)
        if stated is None or not stated.isdigit():
            return route.time_limit
        return int(stated) / 1000

    def _head(self, request: EntryRequest) -> bytes:
        """Return the request line and headers without the final ones."""
        sent = request.request
        dropped = self.dropped_headers
        connection = sent.header(b'connection')
        if connection is not None:
            dropped |= listed_headers(connection) - _NEEDED_HEADERS
        if self.configuration and self.configuration.organisations:
            dropped |= {b'authorization'}
        lines = [b'%s %s HTTP/1.1' % (sent.method, sent.target)]
        lines += [
            b'%s: %s' % header
            for header in sent.headers
            if header[0] not in dropped
        ]
        if sent.body or sent.has_length:
            lines.append(b'content-length: %d' % len(sent.body))
        if request.organisation is not None:
            lines.append(
                b'%s: %s'
                % (
                    self.names.organisation,
                    request.organisation.terms.name.encode(),
                )
            )
        lines.append(
            b'%s: %s'
            % (self.names.caller_service, self.parts.own_service().encode())
        )
        lines.append(b'')
        return b'\r\n'.join(lines)


def _print_of(request: EntryRequest) -> str:
    return fingerprint(
        _name_of(request.organisation),
        request.request.target,
        request.request.body,
    )


def _name_of(organisation: 'OrganisationPolicy | None') -> str:
    return organisation.terms.name if organisation else ''
