"""Choose a target, get a slot and send a call on, more than once if allowed."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.refusal import RefusedError
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.attempt import Attempt, Forwarded
from boragetrestle_node.call import Call
from boragetrestle_node.call_run import CallRun, refusal_of
from boragetrestle_node.directory import Directory
from boragetrestle_node.forwarder import Forwarder
from boragetrestle_node.identity import Identifier
from boragetrestle_node.level_spread import LevelSpread
from boragetrestle_node.quarantine import Quarantine
from boragetrestle_node.replayable_body import ReplayableBody
from boragetrestle_node.retry_policy import Failure, RetryPolicy
from boragetrestle_node.slot_source import Slot, SlotSource
from boragetrestle_node.target_choice import TargetChoice
from boragetrestle_node.target_watch import TargetWatch

_DIRECT = 'direct'
_THROUGH_GUARD = 'through its guard'


class Dispatching(NamedTuple):
    """The parts that a dispatcher decides with."""

    identifier: Identifier
    directory: Directory
    choice: TargetChoice
    watch: TargetWatch
    slots: SlotSource
    forwarder: Forwarder
    retries: RetryPolicy
    levels: LevelSpread
    quarantine: Quarantine
    timeline: Timeline


class Dispatcher:
    """Send calls on to targets."""

    def __init__(self, parts: Dispatching) -> None:
        self.parts = parts

    async def dispatch(
        self,
        call: Call,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Answer a call from a target; raise ``RefusedError`` otherwise."""
        run = CallRun(call, request, connection, ReplayableBody(request))
        self.parts.retries.enter(call)
        forwarded = Forwarded(Attempt.NOT_SENT)
        while True:
            target = self._choose(run)
            if target is None:
                raise RefusedError(refusal_of(call, forwarded))
            forwarded = await self._attempt_apart(run, target)
            if forwarded.attempt is Attempt.ANSWERED:
                self.parts.quarantine.clear_completed(call, request, run.body)
                return
            delay = self._next_delay(run, forwarded)
            if delay is None:
                raise RefusedError(refusal_of(call, forwarded))
            reason = forwarded.attempt.value
            self._record(EventKind.CALL_RETRIED, call, target, reason)
            await trio.sleep(delay)

    def _choose(self, run: CallRun) -> TargetRecord | None:
        ready = self.parts.directory.ready(run.call.service)
        target = self.parts.choice.choose(run.call, ready, run.tried)
        if target is not None:
            run.tried.add(target.target)
        return target

    async def _attempt_apart(
        self,
        run: CallRun,
        target: TargetRecord,
    ) -> Forwarded:
        """Attempt a call, a suspect one apart from other suspects."""
        call, request, body = run.call, run.request, run.body
        quarantine = self.parts.quarantine
        suspect = await quarantine.check_suspect(call, request, body)
        if suspect is None:
            return await self._attempt_and_report(run, target)
        async with quarantine.exclusive_runs.hold(
            call, suspect, target
        ) as may_run:
            if not may_run:
                return Forwarded(Attempt.NOT_SENT)
            return await self._attempt_and_report(run, target)

    async def _attempt_and_report(
        self,
        run: CallRun,
        target: TargetRecord,
    ) -> Forwarded:
        forwarded = await self._attempt(run, target)
        if forwarded.is_broken:
            await self.parts.quarantine.report_broken_connection(
                run.call,
                run.request,
                run.body,
                target=target,
            )
        return forwarded

    async def _attempt(
        self,
        run: CallRun,
        target: TargetRecord,
    ) -> Forwarded:
        run.delay = None
        was_sent = run.call.is_sent
        with self.parts.watch.attempt(run.call, target) as attempt:
            attempt.forwarded = await self._hold_and_forward(
                run,
                target,
                on_head=attempt.head,
            )
        if not attempt.forwarded.may_have_run:
            run.call.is_sent = was_sent
        return attempt.forwarded

    async def _hold_and_forward(
        self,
        run: CallRun,
        target: TargetRecord,
        *,
        on_head: Callable[[], None],
    ) -> Forwarded:
        try:
            async with self.parts.slots.hold(run.call, target) as slot:
                run.call.is_sent = True
                way = _THROUGH_GUARD if slot.is_guarded else _DIRECT
                self._record(EventKind.CALL_SENT, run.call, target, way)
                forwarded = await self._forward(run, slot, on_head=on_head)
                slot.forwarded = forwarded
        except RefusedError as error:
            return Forwarded(Attempt.REFUSED, error.refusal)
        if slot.is_guarded:
            self.parts.levels.apply_answer_fields(forwarded.fields or [])
        return forwarded

    async def _forward(
        self,
        run: CallRun,
        slot: Slot,
        *,
        on_head: Callable[[], None],
    ) -> Forwarded:
        def take_back(status: int) -> bool:
            on_head()
            return self._takes_back(run, status)

        make_context = (
            self.parts.identifier.hop_context_for
            if slot.is_guarded
            else self.parts.identifier.context_for
        )
        return await self.parts.forwarder.forward(
            slot.address,
            run.request,
            run.connection,
            body=run.body,
            context=make_context(run.call),
            call_id=run.call.call_id,
            remaining=run.call.remaining,
            is_guarded=slot.is_guarded,
            take_back=take_back,
        )

    def _takes_back(self, run: CallRun, status: int) -> bool:
        """Plan a retry in place of an answer, if another target is left."""
        ready = self.parts.directory.ready(run.call.service)
        has_other = any(rec.target not in run.tried for rec in ready)
        if not has_other or not run.body.is_replayable:
            return False
        failure = Failure(
            was_sent=True,
            may_have_run=True,
            tries=len(run.tried),
            status=status,
        )
        run.delay = self.parts.retries.next_delay(run.call, failure)
        return run.delay is not None

    def _next_delay(
        self,
        run: CallRun,
        forwarded: Forwarded,
    ) -> float | None:
        failure = run.failure(forwarded)
        if run.delay is not None:
            return run.delay
        if not run.can_repeat(forwarded):
            return None
        return self.parts.retries.next_delay(run.call, failure)

    def _record(
        self,
        kind: EventKind,
        call: Call,
        target: TargetRecord,
        reason: str,
    ) -> None:
        self.parts.timeline.record(
            kind,
            reason=reason,
            call=call.call_id,
            organisation=call.organisation,
            service=call.service,
            subject=target.target,
        )
