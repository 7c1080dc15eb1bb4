"""Take calls from callers and from the target beside the node."""

import random
from collections.abc import Sequence

import trio

from boragetrestle_kernel.errors import BodyTooLargeError, CallerError
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
)
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.at_most_once import AtMostOnce
from boragetrestle_node.call import Call
from boragetrestle_node.caller_connections import CallerConnections
from boragetrestle_node.gate import Gate, RateStage
from boragetrestle_node.guarded_calls import GuardedCalls
from boragetrestle_node.identity import Identifier
from boragetrestle_node.metrics import NodeMetrics
from boragetrestle_node.retry_after import spread_retry

_MAX_DISCARDED_BYTES = 262_144
_CALL_ID = b'boragetrestle-call'
_HUNG_UP = 'caller-gone'


class Entry:
    """Decide on each call and answer it.

    A call passes the gates in order and is then dispatched. A guarded hop has
    passed the gates of another node. A refusal says "not run" only of a call
    of which no byte was sent to a target.
    """

    def __init__(
        self,
        *,
        identifier: Identifier,
        gates: Sequence[Gate],
        rates: RateStage,
        dispatcher: AtMostOnce,
        guarded: GuardedCalls,
        timeline: Timeline,
        metrics: NodeMetrics,
        rng: random.Random,
        connections: CallerConnections,
    ) -> None:
        self.identifier = identifier
        self.gates = gates
        self.rates = rates
        self.dispatcher = dispatcher
        self.guarded = guarded
        self.timeline = timeline
        self.metrics = metrics
        self.rng = rng
        self.connections = connections
        self.running = 0
        self.is_draining = False

    async def handle(
        self,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Answer one request."""
        self.running += 1
        try:
            await self._handle(request, connection)
        finally:
            self.running -= 1

    async def _handle(
        self,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        try:
            call = self.identifier.identify(request)
        except RefusedError as error:
            await self._refuse(error.refusal, connection)
            return
        try:
            self._admit(call, connection)
            await self._run(call, request, connection)
        except RefusedError as error:
            refusal = error.refusal
            if call.is_sent:
                refusal = refusal._replace(run_state=RunState.UNKNOWN)
            await self._refuse(refusal, connection, call=call)
            if call.is_guarded:
                await request.discard(max_bytes=_MAX_DISCARDED_BYTES)
        except CallerError as error:
            self._abandon(call, error.code)
            raise
        except trio.Cancelled:
            if connection.has_caller_closed:
                self._abandon(call, _HUNG_UP)
            raise

    async def _run(
        self,
        call: Call,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        self._record(
            EventKind.CALL_ENTERED,
            call,
            reason=call.origin,
            subject=call.route.path,
        )
        if not call.is_guarded:
            for gate in self.gates:
                gate.check(call)
            await self.rates.admit(call)
        serve = (
            self.guarded.serve if call.is_guarded else self.dispatcher.dispatch
        )
        if not request.is_whole:
            await self._keep_body(call, request)
        with trio.move_on_at(call.deadline) as scope:
            await serve(call, request, connection)
        if scope.cancelled_caught:
            raise RefusedError(Refusal(RefusalCode.DEADLINE))
        self.metrics.answered(call)
        self._record(EventKind.CALL_ANSWERED, call, subject=call.origin)

    def _admit(self, call: Call, connection: HttpServerConnection) -> None:
        """Refuse calls that enter while the node drains or is full."""
        if call.depth or call.is_guarded:
            return
        if self.is_draining:
            raise RefusedError(
                Refusal(RefusalCode.NODE_DRAINING, retry_after=1),
            )
        if call.organisation:
            self.connections.claim(connection, call.organisation)

    async def _keep_body(self, call: Call, request: HttpRequest) -> None:
        """Read the first part of a body before the call holds a slot."""
        try:
            request.check_declared_size()
            with trio.move_on_at(call.deadline):
                await request.buffer_body()
                return
        except BodyTooLargeError as error:
            detail = str(error)
            raise RefusedError(
                Refusal(RefusalCode.TOO_LARGE, detail=detail),
            ) from error
        raise RefusedError(Refusal(RefusalCode.DEADLINE))

    def _abandon(self, call: Call, reason: str) -> None:
        """Record a call that its caller broke off."""
        self.metrics.abandoned(call, reason)
        self._record(EventKind.CALL_ABANDONED, call, reason=reason)

    def _record(
        self,
        kind: EventKind,
        call: Call,
        *,
        reason: str = '',
        subject: str = '',
    ) -> None:
        self.timeline.record(
            kind,
            reason=reason,
            call=call.call_id,
            organisation=call.organisation,
            service=call.service,
            subject=subject,
        )

    async def _refuse(
        self,
        refusal: Refusal,
        connection: HttpServerConnection,
        *,
        call: Call | None = None,
    ) -> None:
        if call is None or not call.is_guarded:
            refusal = spread_retry(refusal, self.rng)
        self.metrics.refused(refusal, call)
        call_id = call.call_id if call else ''
        self.timeline.record(
            EventKind.CALL_REFUSED,
            reason=refusal.code.value,
            call=call_id,
            organisation=call.organisation if call else '',
            service=call.service if call else '',
            subject=call.origin if call else '',
        )
        if connection.has_started_answer:
            await connection.aclose()
            return
        fields = refusal.headers()
        if call is not None and call.is_guarded:
            fields.extend(self.guarded.levels.answer_fields())
        fields.append((_CALL_ID, call_id.encode()))
        body = refusal.body(call_id=call_id)
        await connection.answer(refusal.status, fields, body)
