"""Run a call with an idempotency key at most once."""

import random

import trio

from boragetrestle_kernel.errors import (
    OutcomeUnknownError,
    StoreError,
    WireError,
)
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
)
from boragetrestle_node.buffered_request import BufferedRequest, read_body
from boragetrestle_node.byte_budget import ByteBudget
from boragetrestle_node.call import Call
from boragetrestle_node.claim_record import (
    Claim,
    ClaimState,
    claim_row_key,
    fingerprint,
)
from boragetrestle_node.claim_replay import ClaimReplay
from boragetrestle_node.claim_table import ClaimTable, next_claim
from boragetrestle_node.dispatcher import Dispatcher
from boragetrestle_node.outcome_writer import Outcome, OutcomeWriter
from boragetrestle_node.recording_connection import RecordingConnection

RELEASE_SECONDS = 1.0

_RETRY_SECONDS = (1.0, 4.0)


def takes_claim(call: Call) -> bool:
    """Tell whether a call is claimed before it is sent on.

    Callers of open routes are not told apart, so their keys are not used;
    neither are those on idempotent routes, which are safe to repeat.
    """
    route = call.route
    if route.open or not call.idempotency_key:
        return False
    return not route.idempotent or route.idempotency_key == 'required'


class AtMostOnce:
    """Claim calls before they are dispatched and keep their outcomes."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        *,
        claims: ClaimTable,
        outcomes: OutcomeWriter,
        replay: ClaimReplay,
        budget: ByteBudget,
        rng: random.Random,
    ) -> None:
        self.dispatcher = dispatcher
        self.claims = claims
        self.outcomes = outcomes
        self.replay = replay
        self.budget = budget
        self.rng = rng

    async def dispatch(
        self,
        call: Call,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Answer a call, from a target or as its first run was answered.

        Raises ``RefusedError`` otherwise.
        """
        if not takes_claim(call):
            await self.dispatcher.dispatch(call, request, connection)
            return
        body = await read_body(request, self.budget)
        try:
            await self._run(call, BufferedRequest(request, body), connection)
        finally:
            self.budget.release(len(body))

    async def _run(
        self,
        call: Call,
        request: BufferedRequest,
        connection: HttpServerConnection,
    ) -> None:
        try:
            claim = await self._claim(call, request, connection)
        except (StoreError, WireError) as error:
            raise RefusedError(
                Refusal(
                    RefusalCode.STORE_UNAVAILABLE,
                    detail=str(error),
                    retry_after=self.rng.uniform(*_RETRY_SECONDS),
                ),
            ) from error
        if claim is not None:
            await self._run_claimed(claim, call, request, connection)

    async def _claim(
        self,
        call: Call,
        request: BufferedRequest,
        connection: HttpServerConnection,
    ) -> Claim | None:
        """Return a claim of this call, or answer a repeat."""
        shown = fingerprint(request, request.body)
        claim = await self.claims.prepare(
            claim_row_key(call),
            fingerprint=shown,
            remaining=call.remaining,
        )
        if await self._write(claim):
            return claim
        found = await self.claims.find(claim.row_key)
        if found is None:
            raise StoreError('the claim of this call expired just now')
        if found.claim.record.state is not ClaimState.RELEASED:
            await self.replay.answer(found, call, shown, connection)
            return None
        again = Claim(claim.row_key, found.claim.version + 1, claim.record)
        if await self._write(again):
            return again
        raise RefusedError(
            Refusal(RefusalCode.CALL_RUNNING, RunState.UNKNOWN, retry_after=1),
        )

    async def _write(self, claim: Claim) -> bool:
        """Write a claim; release it later if that may take effect unseen."""
        try:
            return await self.claims.write(claim)
        except (OutcomeUnknownError, trio.Cancelled):
            self.outcomes.put(Outcome(claim, is_doubtful=True))
            raise

    async def _run_claimed(
        self,
        claim: Claim,
        call: Call,
        request: BufferedRequest,
        connection: HttpServerConnection,
    ) -> None:
        recorder = RecordingConnection(connection, self.budget)
        try:
            await self._send(call, request, recorder)
        except RefusedError as error:
            if error.refusal.run_state is RunState.NOT_RUN:
                await self._release(claim)
            else:
                self._finish(claim, recorder)
            raise
        except BaseException:
            if call.is_sent:
                self._finish(claim, recorder)
            else:
                released = next_claim(claim, ClaimState.RELEASED)
                self.outcomes.put(Outcome(released))
            raise
        self._finish(claim, recorder)

    async def _send(
        self,
        call: Call,
        request: BufferedRequest,
        recorder: RecordingConnection,
    ) -> None:
        if call.remaining <= 0:
            raise RefusedError(Refusal(RefusalCode.DEADLINE))
        await self.dispatcher.dispatch(call, request, recorder)

    async def _release(self, claim: Claim) -> None:
        """Let the key run again, before the caller learns of the refusal."""
        released = next_claim(claim, ClaimState.RELEASED)
        written = self.outcomes.put(Outcome(released))
        with trio.move_on_after(RELEASE_SECONDS):
            await written.wait()

    def _finish(self, claim: Claim, recorder: RecordingConnection) -> None:
        """Record the answer if it is whole, otherwise an unknown outcome."""
        if not recorder.is_whole:
            recorder.free()
            unknown = next_claim(claim, ClaimState.UNKNOWN)
            self.outcomes.put(Outcome(unknown))
            return
        answer = recorder.take_answer()
        answered = next_claim(claim, ClaimState.ANSWERED, answer=answer)
        self.outcomes.put(Outcome(answered, held_bytes=recorder.count))
