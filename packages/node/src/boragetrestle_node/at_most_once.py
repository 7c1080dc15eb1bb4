"""Run calls with an idempotency key at most once.

A call is claimed in the shared table before it is sent to a target, and its
answer is stored there, so that a repeat is answered without a second run.
"""

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
from boragetrestle_node.outcome_writer import ClaimUpdate, OutcomeWriter
from boragetrestle_node.recording_connection import RecordingConnection

RELEASE_WAIT_SECONDS = 1.0

_RETRY_AFTER_RANGE_SECONDS = (1.0, 4.0)


def needs_claim(call: Call) -> bool:
    """Tell whether a call must be claimed before it is sent to a target.

    Callers of open routes cannot be told apart, so equal keys may come from
    different callers and are ignored. Calls on idempotent routes are safe to
    repeat and are claimed only if the route requires a key.
    """
    route = call.route
    if route.open or not call.idempotency_key:
        return False
    return not route.idempotent or route.idempotency_key == 'required'


class AtMostOnce:
    """Claim calls before they are dispatched and record their outcomes."""

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
        """Answer a call from a target, or with the stored answer of its key.

        Raises ``RefusedError`` if the call gets neither.
        """
        if not needs_claim(call):
            await self.dispatcher.dispatch(call, request, connection)
            return
        body = await read_body(request, self.budget)
        try:
            await self._run_buffered(
                call, BufferedRequest(request, body), connection
            )
        finally:
            self.budget.release(len(body))

    async def _run_buffered(
        self,
        call: Call,
        request: BufferedRequest,
        connection: HttpServerConnection,
    ) -> None:
        try:
            claim = await self._claim_or_replay(call, request, connection)
        except (StoreError, WireError) as error:
            raise RefusedError(
                Refusal(
                    RefusalCode.STORE_UNAVAILABLE,
                    detail=str(error),
                    retry_after=self.rng.uniform(*_RETRY_AFTER_RANGE_SECONDS),
                ),
            ) from error
        if claim is not None:
            await self._run_claimed(claim, call, request, connection)

    async def _claim_or_replay(
        self,
        call: Call,
        request: BufferedRequest,
        connection: HttpServerConnection,
    ) -> Claim | None:
        """Return the claim written for this call; ``None`` if it was a repeat.

        A repeat is answered here. A released claim is claimed again.
        """
        request_fingerprint = fingerprint(request, request.body)
        claim = await self.claims.build_claim(
            claim_row_key(call),
            fingerprint=request_fingerprint,
            remaining=call.remaining,
        )
        if await self._write_claim(claim):
            return claim
        found = await self.claims.read_claim(claim.row_key)
        if found is None:
            raise StoreError('the claim of this call expired just now')
        if found.claim.record.state is not ClaimState.RELEASED:
            await self.replay.answer_repeat(
                found, call, request_fingerprint, connection
            )
            return None
        renewed = Claim(claim.row_key, found.claim.version + 1, claim.record)
        if await self._write_claim(renewed):
            return renewed
        raise RefusedError(
            Refusal(RefusalCode.CALL_RUNNING, RunState.UNKNOWN, retry_after=1),
        )

    async def _write_claim(self, claim: Claim) -> bool:
        """Write a claim; schedule its release if the result stays unknown."""
        try:
            return await self.claims.write_if_unchanged(claim)
        except (OutcomeUnknownError, trio.Cancelled):
            self.outcomes.start_write(
                ClaimUpdate(claim, is_uncertain_insert=True)
            )
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
            await self._dispatch_in_time(call, request, recorder)
        except RefusedError as error:
            if error.refusal.run_state is RunState.NOT_RUN:
                await self._release_claim(claim)
            else:
                self._record_outcome(claim, recorder)
            raise
        except BaseException:
            if call.is_sent:
                self._record_outcome(claim, recorder)
            else:
                released = next_claim(claim, ClaimState.RELEASED)
                self.outcomes.start_write(ClaimUpdate(released))
            raise
        self._record_outcome(claim, recorder)

    async def _dispatch_in_time(
        self,
        call: Call,
        request: BufferedRequest,
        recorder: RecordingConnection,
    ) -> None:
        if call.remaining <= 0:
            raise RefusedError(Refusal(RefusalCode.DEADLINE))
        await self.dispatcher.dispatch(call, request, recorder)

    async def _release_claim(self, claim: Claim) -> None:
        """Release the claim before the caller gets the refusal and may repeat.

        Waits for the write for at most ``RELEASE_WAIT_SECONDS``; it goes on in
        the background after that.
        """
        released = next_claim(claim, ClaimState.RELEASED)
        written = self.outcomes.start_write(ClaimUpdate(released))
        with trio.move_on_after(RELEASE_WAIT_SECONDS):
            await written.wait()

    def _record_outcome(
        self, claim: Claim, recorder: RecordingConnection
    ) -> None:
        """Record the answer if it is complete, otherwise an unknown outcome."""
        if not recorder.is_complete:
            recorder.discard_body()
            unknown = next_claim(claim, ClaimState.UNKNOWN)
            self.outcomes.start_write(ClaimUpdate(unknown))
            return
        answer = recorder.build_answer()
        answered = next_claim(claim, ClaimState.ANSWERED, answer=answer)
        self.outcomes.start_write(
            ClaimUpdate(answered, reserved_bytes=recorder.recorded_bytes)
        )
