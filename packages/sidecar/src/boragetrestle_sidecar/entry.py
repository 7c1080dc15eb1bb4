"""Route the requests of callers to guards and answer each of them.

The entry is the part of a node that takes requests from callers. It sends each
to a guard, the node beside a target that enforces the target's limits, and
retries at other guards while the request's time and the retry budget allow.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from boragetrestle_kernel.ids import RequestId
from boragetrestle_sidecar.body_budget import BODY_MEMORY_SHARE, BodyBudget
from boragetrestle_sidecar.connection_headers import (
    HOP_BY_HOP_HEADERS,
    parse_connection_header,
)
from boragetrestle_sidecar.entry_request import EntryRequest
from boragetrestle_sidecar.failure_trace import failure_trace
from boragetrestle_sidecar.guard_probe import GuardProbe
from boragetrestle_sidecar.header_number import read_count
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind, Reason
from boragetrestle_sidecar.placement import choose_guard
from boragetrestle_sidecar.region_policy import (
    allowed_regions,
    guards_in_regions,
    reason_without_guard,
)
from boragetrestle_sidecar.run_order import RunOrder
from boragetrestle_sidecar.service_split import ServiceSplit
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.stop_window import CLOSED, NO_STOP

if TYPE_CHECKING:
    from boragetrestle_sidecar.caller_connection import CallerConnection
    from boragetrestle_sidecar.caller_request import CallerRequest
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.entry_parts import EntryParts
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.path_settings import PathSettings
    from boragetrestle_sidecar.pending_answer import PendingAnswer
    from boragetrestle_sidecar.placement import GuardView
    from boragetrestle_sidecar.route_policy import RoutePolicy
    from boragetrestle_sidecar.wire_names import WireNames

# Guards tried for one request. A guard that refuses without sending the request
# to its target costs only time.
MAX_PLACEMENTS = 4
# Guards answer by the time limit; without an answer this much later, the entry
# refuses the request itself.
ANSWER_GRACE_SECONDS = 0.03
# Below the half second within which runs of callers that left have to end.
DEPARTURE_CHECK_SECONDS = 0.2
# Reserved from a caller's time for sending the last answer back.
ANSWER_RETURN_SECONDS = 0.04
MAX_TIME_LEFT_MS = 86_400_000  # a day; routes allow seconds
NO_RUN = 0  # links number their runs from one
MIN_RETRY_RUN_SECONDS = 0.02  # less is not enough for another run
# The rest is for the body to arrive and to be run.
MAX_BODY_WAIT_FRACTION = 0.5
MAX_CONTESTED_BODY_SECONDS = 60.0  # 60 MB at 1 MB/s
NO_TARGET_RETRY_AFTER_SECONDS = 0.4  # crashed targets restart within seconds
# Names in a Connection header that don't remove a header of that name.
_IGNORED_CONNECTION_OPTIONS = frozenset((b'host', b'close', b'keep-alive'))
_RETRIED_STATUSES = frozenset((
    HTTPStatus.INTERNAL_SERVER_ERROR,
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.SERVICE_UNAVAILABLE,
))


class _ResolvedRequest(NamedTuple):
    """A request's id with its route and organisation (customer)."""

    request_id: RequestId
    route: 'RoutePolicy'
    organisation: 'OrganisationPolicy | None'


class Entry:
    """Refuse, send, retry and answer the requests of callers."""

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
        self.rate_gate = parts.rate_gate
        self.suspects = parts.suspects
        self.telemetry = parts.telemetry
        self.answers = parts.answers
        self.clock = clock
        self.probe = GuardProbe(parts.chance, clock)
        self.service_split = ServiceSplit(parts.chance)
        self.configuration: Configuration | None = None
        self.connections: set[CallerConnection] = set()
        self.requests: set[EntryRequest] = set()
        self.bodies = BodyBudget(int(settings.memory_bytes * BODY_MEMORY_SHARE))
        self.arrivals: Counter[str] = Counter()
        self.departures_checked_at = -math.inf
        self.is_stopping = False
        self.stop_window = NO_STOP
        self.dropped_headers = frozenset((
            *HOP_BY_HOP_HEADERS,
            names.time_left,
            names.expected_target,
            names.organisation,
            names.caller_service,
        ))

    def configure(self, configuration: 'Configuration') -> None:
        """Use a newer configuration, also on open connections."""
        self.configuration = configuration
        for connection in self.connections:
            connection.reader.use_limits(configuration.limits)

    def start_request(
        self,
        answer: 'PendingAnswer',
        request: 'CallerRequest',
    ) -> EntryRequest | None:
        """Start a request; return it unless it is already over."""
        try:
            started = self._begin_request(answer, request)
        except Exception as error:
            self._log_failure(request, error)
            if answer.render is None:
                answer.write_refusal(Reason.INTERNAL)
            return None
        if started is None:
            return None
        self._run_step(started, partial(self._admit, started))
        return None if started.is_over else started

    def may_repeat(self, request: 'CallerRequest') -> bool:
        """Return whether a request may run more than once.

        That holds for a request without a route, too, since it never runs.
        """
        if self.configuration is None:
            return True
        route = self.configuration.find_route(request.host, request.path)
        return route is None or route.may_repeat

    def body_wait_seconds(self, request: 'CallerRequest') -> float:
        """Return how long the body of a request may wait for memory."""
        route = None
        if self.configuration is not None:
            route = self.configuration.find_route(request.host, request.path)
        if route is None:
            return math.inf  # it is refused once it has been read
        longest = self._caller_time(request, route)
        return longest * MAX_BODY_WAIT_FRACTION

    def body_read_seconds(self, request: 'CallerRequest') -> float:
        """Return how long a body may be read while others wait for memory."""
        stated = self._stated_time_left(request)
        if stated is None:
            return MAX_CONTESTED_BODY_SECONDS
        return min(stated, MAX_CONTESTED_BODY_SECONDS)

    def abandon(self, request: EntryRequest) -> None:
        """Cancel a request whose caller has closed its connection."""
        if not request.is_over:
            self._run_step(request, partial(self._cancel, request))

    def _cancel(self, request: EntryRequest) -> None:
        self.log.write_limited(
            'caller-gone',
            request=request.log_id,
            route=request.route.name,
            after=self.clock() - request.arrived_at,
            guard=request.guard_address,
            state='sent' if request.hop else 'waiting',
        )
        self.telemetry.count(request.route.name, 'abandoned', '')
        hop = request.hop
        self._finish(request)  # first: a guard may report the end at once
        if hop is not None:
            hop.cancel(request.run_token)

    @property
    def next_deadline(self) -> float:
        """When a request expires next."""
        return min(
            (request.expires_at for request in self.requests),
            default=math.inf,
        )

    def expire_overdue_requests(self) -> None:
        """Refuse overdue requests without an answer; called every few ms.

        Those of callers that have left are cancelled.
        """
        now = self.clock()
        if now >= self.departures_checked_at + DEPARTURE_CHECK_SECONDS:
            self.departures_checked_at = now
            for connection in list(self.connections):
                connection.close_if_departed()
        for request in list(self.requests):
            if now > request.expires_at + ANSWER_GRACE_SECONDS:
                self._run_step(request, partial(self._expire, request))

    def _expire(self, request: EntryRequest) -> None:
        hop = request.hop
        self._refuse(request, Reason.TIME_LIMIT)
        if hop is not None:
            hop.cancel(request.run_token)

    def _run_step(
        self,
        request: EntryRequest,
        step: Callable[[], object],
    ) -> None:
        """Run a step of one request, which ends alone if the step fails.

        Its caller is not left waiting, and the exception reaches neither the
        link nor the connection that other requests share.
        """
        try:
            step()
        except Exception as error:
            self._log_failure(request.request, error)
            if not request.is_over:
                self._end_failed(request)

    def _end_failed(self, request: EntryRequest) -> None:
        """Answer that the outcome is unknown, and cancel the run."""
        hop = request.hop
        self._finish(request)
        refuse = partial(request.answer.write_refusal, Reason.INTERNAL)
        self._run_step(request, refuse)
        if hop is not None:
            self._run_step(request, partial(hop.cancel, request.run_token))

    def _record(
        self, request: EntryRequest, step: Callable[[], object]
    ) -> None:
        """Run a step that only counts; the request goes on if it fails."""
        try:
            step()
        except Exception as error:
            self._log_failure(request.request, error)

    def _log_failure(self, request: 'CallerRequest', error: Exception) -> None:
        request_id = request.header(self.names.request_id) or b''
        self.log.write_limited(
            'request-failed',
            request=request_id.decode('latin-1'),
            error=repr(error),
            trace=failure_trace(error),
        )

    def _begin_request(
        self,
        answer: 'PendingAnswer',
        request: 'CallerRequest',
    ) -> EntryRequest | None:
        """Return a request that may be admitted; refuse it otherwise."""
        found = self._resolve(request)
        if isinstance(found, Reason):
            self._refuse_unresolved(answer, found, request)
            return None
        return self._create_request(answer, request, found)

    @property
    def has_stopped(self) -> bool:
        """Whether all requests that come are refused at once."""
        return self.stop_window == CLOSED

    def finish_stop(self) -> None:
        """Refuse the requests that are left, and all that come later.

        Those at a guard may have run.
        """
        self.stop_window = CLOSED
        for request in list(self.requests):
            self._run_step(request, partial(self._end_for_stop, request))

    def _end_for_stop(self, request: EntryRequest) -> None:
        hop = request.hop
        request.may_have_run |= hop is not None
        self._refuse_for_stop(request)
        if hop is not None:
            hop.cancel(request.run_token)

    def _ends_before_stop(self, request: EntryRequest) -> bool:
        """Return whether the node sees a request through if it sends it on."""
        ends_at = request.expires_at + ANSWER_GRACE_SECONDS
        return self.stop_window.may_send(self.clock(), ends_at=ends_at)

    def _refuse_for_stop(self, request: EntryRequest) -> None:
        self._refuse(
            request, Reason.STOPPING, retry_after=self._retry_after(request)
        )

    def _resolve(self, request: 'CallerRequest') -> '_ResolvedRequest | Reason':
        """Return the route and organisation, or the reason for refusal."""
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
            organisation = configuration.find_organisation(
                self._api_key(request)
            )
            if organisation is None:
                return Reason.KEY_UNKNOWN
        return _ResolvedRequest(RequestId(request_id), route, organisation)

    def _create_request(
        self,
        answer: 'PendingAnswer',
        request: 'CallerRequest',
        found: '_ResolvedRequest',
    ) -> EntryRequest:
        route = found.route
        now = self.clock()
        left = self._caller_time_left(request, route)
        started = EntryRequest(
            answer,
            request,
            found.request_id,
            route,
            self.service_split.choose(route),
            found.organisation,
            arrived_at=now,
            expires_at=now
            + min(left - ANSWER_RETURN_SECONDS, route.time_limit),
            goal_at=now + route.goal,
            caller_expires_at=now + left,
        )
        self.parts.retry_budget.record_request(started.service)
        if route.needs_key:
            self.arrivals[route.name] += 1
        else:
            self.parts.attribution.attribute_call(route.name, now + left)
        self.requests.add(started)
        return started

    def _admit(self, request: EntryRequest) -> None:
        if not self._ends_before_stop(request):
            self._refuse_for_stop(request)
            return
        if request.expires_at <= self.clock():
            self._refuse(
                request, Reason.EXPIRED, retry_after=self._retry_after(request)
            )
            return
        if self._is_suspect(request):
            self._refuse(request, Reason.SUSPECT, retry_after=1.0)
            return
        refused = self.admission.admit_or_retry_after(request)
        if not refused:
            self._take_token(request)
            return
        seconds = self.admission.seconds_to_hold(request)
        if seconds and not request.is_held:
            self._hold(request, seconds)
        else:
            self._refuse(request, Reason.SHORTAGE, retry_after=refused)

    def _is_suspect(self, request: EntryRequest) -> bool:
        """Return whether a request has crashed too many targets."""
        suspects = self.suspects
        return bool(suspects.crashes) and suspects.is_blocked(
            request.fingerprint
        )

    def _hold(self, request: EntryRequest, seconds: float) -> None:
        """Admit a request later, when there is capacity again."""
        request.is_held = True
        self.telemetry.count(request.route.name, 'held', '')
        asyncio.get_running_loop().call_later(seconds, self._release, request)

    def _release(self, request: EntryRequest) -> None:
        if not request.is_over:
            self._run_step(request, partial(self._admit_held, request))

    def _admit_held(self, request: EntryRequest) -> None:
        self.admission.refresh()
        self._admit(request)

    def _take_token(self, request: EntryRequest) -> None:
        policy = request.organisation
        if policy is None or self.rate_gate.take_token(policy):
            self._place(request)
            return
        resume = partial(self._resume_after_token_request, request)
        self.rate_gate.request_tokens(
            policy, lambda: self._run_step(request, resume)
        )

    def _resume_after_token_request(self, request: EntryRequest) -> None:
        if request.is_over:
            return
        policy = request.organisation
        assert policy is not None
        if self.rate_gate.take_token(policy):
            self._place(request)
        else:
            self.admission.return_token(request)
            self._refuse(
                request,
                Reason.RATE_EXCEEDED,
                retry_after=self.rate_gate.retry_after(policy),
            )

    def _place(self, request: EntryRequest) -> None:
        """Send a request to a guard, after asking some for their load."""
        guards = self._guards_for(request)
        if not request.placements:
            unknown = self.probe.choose_guards(guards)
            place = partial(self._place_after_probe, request)
            if unknown and self.probe.ask(
                unknown, lambda: self._run_step(request, place)
            ):
                return
            if guards:
                self.probe.refresh_one(guards)
        self._choose_guard(request, guards)

    def _place_after_probe(self, request: EntryRequest) -> None:
        self._choose_guard(request, self._guards_for(request))

    def _guards_for(self, request: EntryRequest) -> 'Sequence[GuardView]':
        """Return the guards that may serve a request."""
        return guards_in_regions(
            self.fleet.guards_of(request.service),
            allowed_regions(request.route, request.organisation),
            self.settings.regions,
        )

    def _choose_guard(
        self,
        request: EntryRequest,
        guards: 'Sequence[GuardView]',
    ) -> None:
        if request.is_over:
            return
        now = self.clock()
        if not self._ends_before_stop(request):
            self._refuse_for_stop(request)
            return
        guard = choose_guard(
            guards,
            domain=self.settings.domain,
            avoided=request.avoided_guards,
            is_responsive=self.fleet.is_responsive,
            chance=self.parts.chance,
        )
        if guard is None:
            reason = request.last_reason or self._reason_without_guard(request)
            self._refuse(
                request, reason, retry_after=self._retry_after(request)
            )
            return
        if not request.head:
            request.head = self._build_head(request)
        request.placements += 1
        self._send_to_guard(request, guard, now)

    def _reason_without_guard(self, request: EntryRequest) -> Reason:
        return reason_without_guard(
            self.fleet.guards_of(request.service), self._guards_for(request)
        )

    def _send_to_guard(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        now: float,
    ) -> None:
        route = request.route
        order = RunOrder(
            service=request.service,
            route=route.name,
            organisation=_organisation_name(request.organisation),
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
        request.run_token = NO_RUN
        request.guard_address = guard.address
        self._log_placement(request, guard, now)
        guard.unconfirmed_runs += 1
        placement = request.placements
        token = guard.hop.run(
            order,
            lambda outcome: self._run_step(
                request, partial(self._handle_outcome, request, guard, outcome)
            ),
        )
        # The own guard may refuse before it returns, and the request be placed
        # at another one, under another number.
        if request.placements == placement:
            request.run_token = token

    def _log_placement(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        now: float,
    ) -> None:
        self.log.write_limited(
            'placed',
            request=request.log_id,
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

    def _handle_outcome(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        outcome: Outcome,
    ) -> None:
        self._record(
            request, partial(self.fleet.record_outcome, guard, outcome)
        )
        if request.is_over:
            return
        request.hop = None
        if outcome.kind is not OutcomeKind.NOT_SENT:
            request.attempts += 1
        if outcome.kind is OutcomeKind.ANSWERED:
            self._handle_answer(request, guard, outcome)
            return
        if outcome.kind is OutcomeKind.UNKNOWN:
            request.may_have_run = True
        request.last_reason = outcome.reason
        request.avoided_guards.append(guard.address)
        if self._may_retry(request, outcome):
            self._log_retry(request, guard, outcome)
            self._place(request)
        else:
            self._refuse(
                request,
                outcome.reason,
                retry_after=self._retry_after(
                    request, usual=outcome.retry_after
                ),
            )

    def _handle_answer(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        outcome: Outcome,
    ) -> None:
        is_failure = outcome.status in _RETRIED_STATUSES
        if is_failure and self._may_retry_failed_answer(
            request, guard, outcome
        ):
            self._log_retry(request, guard, outcome)
            self._place(request)
            return
        if not self.answers.has_room(len(outcome.body)):
            request.may_have_run = True
            self._refuse(request, Reason.NO_ROOM)
            return
        self._record(
            request, partial(self._record_answer, request, guard, outcome)
        )
        self._finish(request)
        request.answer.write_answer(outcome.head, outcome.body)

    def _record_answer(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        outcome: Outcome,
    ) -> None:
        """Count an answer that its caller gets."""
        is_failure = outcome.status in _RETRIED_STATUSES
        seconds = self.clock() - request.arrived_at
        self.telemetry.count_answer(request.route.name, outcome.status, seconds)
        if is_failure:
            self.log.write_limited(
                'answered-with-failure',
                request=request.log_id,
                route=request.route.name,
                guard=guard.address,
                status=outcome.status,
                after=seconds,
            )
        if self.suspects.crashes and not is_failure:
            self.suspects.clear(request.fingerprint, is_own=True)

    def _may_retry_failed_answer(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        outcome: Outcome,
    ) -> bool:
        request.avoided_guards.append(guard.address)
        has_other = any(
            view.is_open and view.address not in request.avoided_guards
            for view in self._guards_for(request)
        )
        return has_other and self._may_retry(request, outcome)

    def _may_retry(
        self,
        request: EntryRequest,
        outcome: Outcome,
    ) -> bool:
        """Return whether another guard may get it; charge the retry budget."""
        now = self.clock()
        if request.expires_at - now < MIN_RETRY_RUN_SECONDS:
            return False
        if self._is_suspect(request):
            return False
        if request.placements >= MAX_PLACEMENTS:
            return False
        if not self._ends_before_stop(request):
            return False
        if outcome.kind is OutcomeKind.NOT_SENT:
            return outcome.reason is not Reason.EXPIRED
        is_safe = (
            request.route.may_repeat or outcome.kind is OutcomeKind.REJECTED
        )
        if not is_safe or request.attempts >= request.route.max_attempts:
            return False
        costs = self.admission.retry_costs(request)
        return self.parts.retry_budget.try_spend(costs)

    def _log_retry(
        self,
        request: EntryRequest,
        guard: 'GuardView',
        outcome: Outcome,
    ) -> None:
        self.telemetry.count(request.route.name, 'placed-again', outcome.reason)
        self.log.write_limited(
            'placed-again',
            request=request.log_id,
            route=request.route.name,
            guard=guard.address,
            outcome=outcome.kind.name.lower(),
            reason=outcome.reason.value,
            status=outcome.status,
            attempts=request.attempts,
            left=request.expires_at - self.clock(),
        )

    def _refuse(
        self,
        request: EntryRequest,
        reason: Reason,
        *,
        retry_after: float = 0.0,
    ) -> None:
        now = self.clock()
        self.log.write_limited(
            'refused',
            request=request.log_id,
            route=request.route.name,
            service=request.service,
            organisation=_organisation_name(request.organisation),
            reason=reason.value,
            may_have_run=request.may_have_run,
            attempts=request.attempts,
            placements=request.placements,
            guard=request.guard_address,
            after=now - request.arrived_at,
            left=request.expires_at - now,
            retry_after=retry_after,
            version=self.configuration.version if self.configuration else 0,
        )
        self.telemetry.count(request.route.name, 'refused', reason)
        self._finish(request)
        request.answer.write_refusal(
            reason,
            retry_after=retry_after,
            may_have_run=request.may_have_run,
        )

    def _retry_after(
        self,
        request: EntryRequest,
        *,
        usual: float = 0.0,
    ) -> float:
        """Return when a caller should return that no guard could serve.

        ``usual`` is what a guard expects that does not wait for others.
        """
        if self.admission.seconds_until_capacity(request):
            return self.admission.retry_after(request)
        return usual or NO_TARGET_RETRY_AFTER_SECONDS

    def _finish(self, request: EntryRequest) -> None:
        request.is_over = True
        request.hop = None
        self.requests.discard(request)

    def _refuse_unresolved(
        self,
        answer: 'PendingAnswer',
        reason: Reason,
        request: 'CallerRequest',
    ) -> None:
        request_id = request.header(self.names.request_id) or b''
        self.log.write_limited(
            'refused',
            request=request_id.decode('latin-1'),
            reason=reason.value,
            version=self.configuration.version if self.configuration else 0,
        )
        self.telemetry.count('', 'refused', reason)
        retry_after = 0.0
        if reason is Reason.NO_CONFIGURATION:
            retry_after = self._return_after_start(request)
        answer.write_refusal(reason, retry_after=retry_after)

    def _return_after_start(self, request: 'CallerRequest') -> float:
        """Return when callers of a node that has just started may return.

        Without a configuration it knows no services but that of its own target.
        If that is cold, so are others, since hosts have started together.
        """
        known = self.admission.retry_after_start(
            self.settings.service, self._stated_time_left(request) or 0.0
        )
        return known or NO_TARGET_RETRY_AFTER_SECONDS

    def _api_key(self, request: 'CallerRequest') -> str:
        value = request.header(b'authorization') or b''
        scheme, _, key = value.partition(b' ')
        if scheme.lower() != self.names.key_scheme:
            return ''
        return key.strip().decode('latin-1')

    def _caller_time(
        self,
        request: 'CallerRequest',
        route: 'RoutePolicy',
    ) -> float:
        stated = self._stated_time_left(request)
        return route.time_limit if stated is None else stated

    def _caller_time_left(
        self,
        request: 'CallerRequest',
        route: 'RoutePolicy',
    ) -> float:
        """Return how much of the caller's time is left when its request starts.

        Callers that state their time count it from the first byte; for others
        only the time in which this node kept the request waiting counts.
        """
        stated = self._stated_time_left(request)
        if stated is None:
            spent = request.waited_seconds + request.queued_seconds
            return route.time_limit - spent
        return stated - request.read_seconds - request.queued_seconds

    def _stated_time_left(self, request: 'CallerRequest') -> float | None:
        stated = request.header(self.names.time_left) or b''
        left = read_count(stated, most=MAX_TIME_LEFT_MS)
        return None if left is None else left / 1000

    def _build_head(self, request: EntryRequest) -> bytes:
        """Return request line and headers, without those added per run."""
        sent = request.request
        dropped = self.dropped_headers
        connection = sent.header(b'connection')
        if connection is not None:
            dropped |= (
                parse_connection_header(connection)
                - _IGNORED_CONNECTION_OPTIONS
            )
        if self.configuration and self.configuration.organisations:
            dropped |= {b'authorization'}
        lines = [b'%s %s HTTP/1.1' % (sent.method, sent.request_target)]
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


def _organisation_name(organisation: 'OrganisationPolicy | None') -> str:
    return organisation.terms.name if organisation else ''
