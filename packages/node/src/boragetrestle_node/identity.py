"""Find out who makes a call and what it may do."""

import re
import uuid

import trio

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.clock import WallClock
from boragetrestle_kernel.context import (
    HEADER,
    CallContext,
    ContextPurpose,
    ContextSigner,
)
from boragetrestle_kernel.digest import digest_key
from boragetrestle_kernel.errors import ContextError
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.http_server import HttpRequest
from boragetrestle_kernel.ids import CallId, KeyId, OrgId
from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
)
from boragetrestle_kernel.route_table import RouteMatch
from boragetrestle_node.call import Call
from boragetrestle_node.secret_ring import SecretRing

CALL_ATTEMPTS = 3
OPEN_ORGANISATION = OrgId('')

_BEARER = b'bearer '
_UNSAFE_PATH = re.compile(
    r'[#\\]|%2f|%5c|%00|/(?:\.|%2e){1,2}(?:/|$)',
    re.IGNORECASE,
)
_UNSAFE_DETAIL = 'the path has dot segments or hidden separators'
_CLOCK_SKEW_SECONDS = 5.0


class Identifier:
    """Turn the head of a request into a call.

    A call enters with a key, or comes from the target beside this node with
    the context that this target was given. ``own_services`` holds the services
    of that target and ``own_hosts`` the IP addresses that it calls from.

    Only such a call, or the guarded hop of another node, has its context
    believed. Any other copy of the header is dropped, and the call enters with
    its key.
    """

    def __init__(
        self,
        state: FleetState,
        clock: WallClock,
        *,
        own_hosts: frozenset[str],
    ) -> None:
        self.state = state
        self.clock = clock
        self.own_hosts = own_hosts
        self.ring = SecretRing(state)
        self.own_services: set[str] = set()

    def identify(self, request: HttpRequest) -> Call:
        """Return the call; raise ``RefusedError`` if it has no right."""
        match = self._match(request)
        context = self._trusted_context(match, request)
        if context is not None:
            return self._onward(match, request, context)
        return self._entered(match, request)

    def signer(self) -> ContextSigner:
        """Return a signer with the secrets in force."""
        return self.ring.current()

    def context_for(self, call: Call) -> bytes:
        """Return the signed context that goes to the target of a call."""
        return self.signer().sign(
            CallContext(
                call_id=call.call_id,
                organisation=call.organisation,
                key_id=call.key_id,
                service=call.service,
                call_class=call.call_class,
                deadline=self.clock.wall() + call.remaining,
                attempts_left=call.attempts_left,
                depth=call.depth + 1,
            ),
        )

    def hop_context_for(self, call: Call) -> bytes:
        """Return the signed context that goes to the guard of a target."""
        remaining = call.remaining
        return self.signer().sign(
            CallContext(
                call_id=call.call_id,
                organisation=call.organisation,
                key_id=call.key_id,
                service=call.service,
                call_class=call.call_class,
                deadline=self.clock.wall() + remaining + _CLOCK_SKEW_SECONDS,
                attempts_left=call.attempts_left,
                depth=call.depth,
                purpose=ContextPurpose.GUARDED_HOP,
                remaining=remaining,
            ),
        )

    def _match(self, request: HttpRequest) -> RouteMatch:
        path = request.target.partition(b'?')[0].decode('latin-1')
        if _UNSAFE_PATH.search(path):
            raise RefusedError(
                Refusal(RefusalCode.BAD_REQUEST, detail=_UNSAFE_DETAIL),
            )
        match = self.state.routes.find(request.method.decode(), path)
        if match is None:
            raise RefusedError(Refusal(RefusalCode.NO_ROUTE))
        return match

    def _entered(self, match: RouteMatch, request: HttpRequest) -> Call:
        route = match.route
        organisation, key_id = OPEN_ORGANISATION, KeyId('')
        if not route.open:
            organisation, key_id = self._organisation(request)
        return Call(
            call_id=CallId(uuid.uuid4().hex),
            organisation=organisation,
            key_id=key_id,
            service=match.service,
            route=route,
            call_class=CallClass.parse(route.call_class),
            deadline=trio.current_time() + route.deadline,
            attempts_left=CALL_ATTEMPTS,
            idempotency_key=_idempotency_key(request),
        )

    def _organisation(self, request: HttpRequest) -> tuple[OrgId, KeyId]:
        shown = request.field(b'authorization')
        if shown[: len(_BEARER)].lower() == _BEARER:
            key = shown[len(_BEARER) :].strip().decode('latin-1')
            record = self.state.keys.get(digest_key(key))
            if record is not None:
                return record.organisation, record.key_id
        raise RefusedError(Refusal(RefusalCode.NOT_AUTHORISED))

    def _trusted_context(
        self,
        match: RouteMatch,
        request: HttpRequest,
    ) -> CallContext | None:
        """Return the context of an onward call or a guarded hop."""
        header = request.field(HEADER)
        if not header:
            return None
        try:
            context = self.signer().verify(header, now=self.clock.wall())
        except ContextError:
            return None
        if context.service not in self.own_services:
            return None
        if context.purpose is ContextPurpose.GUARDED_HOP:
            return context if context.service == match.service else None
        is_own = request.connection.peer_host in self.own_hosts
        return context if is_own else None

    def _onward(
        self,
        match: RouteMatch,
        request: HttpRequest,
        context: CallContext,
    ) -> Call:
        is_guarded = context.purpose is ContextPurpose.GUARDED_HOP
        left = (
            context.remaining
            if is_guarded
            else context.deadline - self.clock.wall()
        )
        return Call(
            call_id=CallId(context.call_id),
            organisation=OrgId(context.organisation),
            key_id=KeyId(context.key_id),
            service=match.service,
            route=match.route,
            call_class=CallClass(context.call_class),
            deadline=trio.current_time() + min(left, match.route.deadline),
            attempts_left=context.attempts_left,
            depth=context.depth,
            idempotency_key=_idempotency_key(request),
            is_guarded=is_guarded,
        )


def _idempotency_key(request: HttpRequest) -> str:
    return request.field(b'idempotency-key').decode('latin-1')
