"""Choose a target, get a slot and send a call on, more than once if allowed."""

from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
)
from boragetrestle_node.attempt import Attempt, Forwarded
from boragetrestle_node.call import Call
from boragetrestle_node.directory import Directory
from boragetrestle_node.forwarder import Forwarder
from boragetrestle_node.identity import Identifier
from boragetrestle_node.slot_source import SlotSource
from boragetrestle_node.target_choice import TargetChoice

_REFUSALS: dict[Attempt, Refusal] = {
    Attempt.NO_ANSWER: Refusal(RefusalCode.TARGET_FAILED, RunState.UNKNOWN),
    Attempt.CUT: Refusal(RefusalCode.ANSWER_LOST, RunState.UNKNOWN),
}


class Dispatcher:
    """Send calls on to targets."""

    def __init__(
        self,
        *,
        identifier: Identifier,
        directory: Directory,
        choice: TargetChoice,
        slots: SlotSource,
        forwarder: Forwarder,
    ) -> None:
        self.identifier = identifier
        self.directory = directory
        self.choice = choice
        self.slots = slots
        self.forwarder = forwarder

    async def dispatch(
        self,
        call: Call,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Answer a call from a target; raise ``RefusedError`` otherwise."""
        tried: set[TargetId] = set()
        forwarded = Forwarded(Attempt.NOT_SENT)
        while forwarded.attempt is Attempt.NOT_SENT:
            forwarded = await self._attempt(call, request, connection, tried)
        refusal = forwarded.refusal or _REFUSALS.get(forwarded.attempt)
        if refusal is not None:
            raise RefusedError(refusal)

    async def _attempt(
        self,
        call: Call,
        request: HttpRequest,
        connection: HttpServerConnection,
        tried: set[TargetId],
    ) -> Forwarded:
        target = self.choice.choose(self.directory.ready(call.service), tried)
        if target is None:
            raise RefusedError(Refusal(RefusalCode.NO_TARGET, retry_after=1))
        tried.add(target.target)
        async with self.slots.hold(call, target) as slot:
            make_context = (
                self.identifier.hop_context_for
                if slot.is_guarded
                else self.identifier.context_for
            )
            slot.forwarded = await self.forwarder.forward(
                slot.address,
                request,
                connection,
                context=make_context(call),
                call_id=call.call_id,
                is_guarded=slot.is_guarded,
            )
            return slot.forwarded
