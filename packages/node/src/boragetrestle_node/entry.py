"""Take calls from callers and from the target beside the node."""

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
from boragetrestle_node.call import Call
from boragetrestle_node.dispatcher import Dispatcher
from boragetrestle_node.gate import Gate
from boragetrestle_node.identity import Identifier
from boragetrestle_node.metrics import NodeMetrics

_CALL_ID = b'boragetrestle-call'
_HUNG_UP = 'caller-gone'


class Entry:
    """Decide on each call and answer it.

    A call passes the gates in order and is then dispatched.
    """

    def __init__(
        self,
        *,
        identifier: Identifier,
        gates: Sequence[Gate],
        dispatcher: Dispatcher,
        timeline: Timeline,
        metrics: NodeMetrics,
    ) -> None:
        self.identifier = identifier
        self.gates = gates
        self.dispatcher = dispatcher
        self.timeline = timeline
        self.metrics = metrics

    async def handle(
        self,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Answer one request."""
        try:
            call = self.identifier.identify(request)
        except RefusedError as error:
            await self._refuse(error.refusal, connection)
            return
        try:
            await self._run(call, request, connection)
        except RefusedError as error:
            await self._refuse(error.refusal, connection, call=call)
        except CallerError as error:
            self._abandon(call, error.code)
            raise
        except trio.Cancelled:
            if connection.is_hung_up:
                self._abandon(call, _HUNG_UP)
            raise

    async def _run(
        self,
        call: Call,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        for gate in self.gates:
            gate.check(call)
        if not request.is_whole:
            await self._keep_body(call, request)
        with trio.move_on_at(call.deadline) as scope:
            await self.dispatcher.dispatch(call, request, connection)
        if scope.cancelled_caught:
            raise RefusedError(Refusal(RefusalCode.DEADLINE, RunState.UNKNOWN))
        self.metrics.answered(call)

    async def _keep_body(self, call: Call, request: HttpRequest) -> None:
        """Read the first part of a body before the call holds a slot."""
        try:
            request.require_size()
            with trio.move_on_at(call.deadline):
                await request.keep()
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
        self.timeline.record(
            EventKind.CALL_ABANDONED,
            reason=reason,
            call=call.call_id,
            organisation=call.organisation,
            service=call.service,
        )

    async def _refuse(
        self,
        refusal: Refusal,
        connection: HttpServerConnection,
        *,
        call: Call | None = None,
    ) -> None:
        self.metrics.refused(refusal, call)
        call_id = call.call_id if call else ''
        self.timeline.record(
            EventKind.CALL_REFUSED,
            reason=refusal.code.value,
            call=call_id,
            organisation=call.organisation if call else '',
            service=call.service if call else '',
        )
        if connection.has_started_answer:
            await connection.aclose()
            return
        fields = refusal.headers()
        fields.append((_CALL_ID, call_id.encode()))
        body = refusal.body(call_id=call_id)
        await connection.answer(refusal.status, fields, body)
