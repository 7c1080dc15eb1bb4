"""Serve calls that other nodes send to the guard of this node's target."""

from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
)
from boragetrestle_node.attempt import Attempt
from boragetrestle_node.call import Call
from boragetrestle_node.forwarder import Forwarder
from boragetrestle_node.guards import Guards
from boragetrestle_node.identity import Identifier
from boragetrestle_node.level_spread import LevelSpread
from boragetrestle_node.quarantine import Quarantine
from boragetrestle_node.replayable_body import ReplayableBody

_REFUSALS: dict[Attempt, Refusal] = {
    Attempt.NOT_SENT: Refusal(RefusalCode.NO_TARGET, retry_after=1),
    Attempt.NO_ANSWER: Refusal(RefusalCode.TARGET_FAILED, RunState.UNKNOWN),
}


class GuardedCalls:
    """Wait for a slot, then forward the call to the target beside this node.

    The sending node has already charged the rate limit and checked admission.
    Only that node retries.
    """

    def __init__(
        self,
        *,
        guards: Guards,
        identifier: Identifier,
        forwarder: Forwarder,
        levels: LevelSpread,
        quarantine: Quarantine,
    ) -> None:
        self.guards = guards
        self.identifier = identifier
        self.forwarder = forwarder
        self.levels = levels
        self.quarantine = quarantine

    async def serve(
        self,
        call: Call,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Relay the target's answer; raise ``RefusedError`` if there is none."""
        guard = self.guards.of_service(call.service)
        body = ReplayableBody(request)
        async with guard.hold(call) as slot:
            call.is_sent = True
            forwarded = await self.forwarder.forward(
                slot.address,
                request,
                connection,
                context=self.identifier.context_for(call),
                call_id=call.call_id,
                remaining=call.remaining,
                body=body,
                extra=self.levels.answer_fields(),
            )
            call.is_sent = forwarded.may_have_run
            slot.forwarded = forwarded
        if forwarded.is_broken:
            await self.quarantine.report_broken_connection(
                call,
                request,
                body,
                target=guard.target,
            )
        refusal = forwarded.refusal or _REFUSALS.get(forwarded.attempt)
        if refusal is not None:
            raise RefusedError(refusal)
