"""Record the outcomes of claimed calls in the background."""

import random
from typing import NamedTuple

import msgspec
import trio

from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.byte_budget import ByteBudget
from boragetrestle_node.claim_record import Claim, ClaimState
from boragetrestle_node.claim_table import ClaimTable, next_claim
from boragetrestle_platform.object_store import ObjectStore

INLINE_BYTES = 8_192
MAX_PENDING = 1_000
GIVE_UP_SECONDS = 7_200.0

_MAX_PAUSE_SECONDS = 30.0
_FIRST_PAUSE_SECONDS = 0.25
_PAUSE_FACTOR = 2.0
_JITTER = (0.5, 1.0)


class Outcome(NamedTuple):
    """A claim to write next, with the bytes that it holds of the budget.

    ``is_doubtful`` marks the release of a claim whose own insertion may or may
    not have taken effect.
    """

    claim: Claim
    held_bytes: int = 0
    is_doubtful: bool = False


class OutcomeWriter:
    """Write outcomes until the store takes them.

    A node that ends before leaves the claim running; it counts as unknown once
    its time is over. Outcomes beyond ``MAX_PENDING`` are left so as well.
    """

    def __init__(
        self,
        claims: ClaimTable,
        objects: ObjectStore,
        *,
        budget: ByteBudget,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.claims = claims
        self.objects = objects
        self.budget = budget
        self.timeline = timeline
        self.rng = rng
        self.pending = 0
        self.idle = trio.Event()
        self.idle.set()
        self.nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Write outcomes until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def put(self, outcome: Outcome) -> trio.Event:
        """Start to write an outcome; the event is set when that ends."""
        written = trio.Event()
        if self.nursery is None or self.pending >= MAX_PENDING:
            self._leave(outcome, 'too many outcomes are waiting')
            written.set()
            return written
        self.pending += 1
        self.idle = trio.Event() if self.idle.is_set() else self.idle
        self.nursery.start_soon(self._write, outcome, written)
        return written

    async def flush(self) -> None:
        """Wait until no outcome is left to write."""
        await self.idle.wait()

    async def _write(self, outcome: Outcome, written: trio.Event) -> None:
        try:
            with trio.move_on_after(GIVE_UP_SECONDS) as scope:
                await self._write_until_taken(outcome)
            if scope.cancelled_caught:
                self._leave(outcome, 'the store took no outcome for too long')
        finally:
            self.budget.release(outcome.held_bytes)
            self.pending -= 1
            written.set()
            if not self.pending:
                self.idle.set()

    async def _write_until_taken(self, outcome: Outcome) -> None:
        pause = _FIRST_PAUSE_SECONDS
        while True:
            try:
                await self._write_once(outcome)
            except StoreError:
                await trio.sleep(pause * self.rng.uniform(*_JITTER))
                pause = min(_MAX_PAUSE_SECONDS, pause * _PAUSE_FACTOR)
            else:
                return

    async def _write_once(self, outcome: Outcome) -> None:
        if outcome.is_doubtful:
            await self._release_doubtful(outcome.claim)
            return
        await self.claims.write(await self._move_body(outcome.claim))

    async def _release_doubtful(self, claim: Claim) -> None:
        """Write over the version that a claim may still be written over.

        If that succeeds, the claim can no longer take effect. Otherwise it may
        have, and is released by its nonce.
        """
        record = msgspec.structs.replace(
            claim.record,
            state=ClaimState.RELEASED,
        )
        fence = msgspec.structs.replace(claim, record=record)
        if await self.claims.write(fence):
            return
        found = await self.claims.find(claim.row_key)
        if found is None or found.claim.record != claim.record:
            return
        await self.claims.write(next_claim(found.claim, ClaimState.RELEASED))

    async def _move_body(self, claim: Claim) -> Claim:
        """Put a large body into the object store and name it in the claim."""
        answer = claim.record.answer
        if answer is None or len(answer.body) <= INLINE_BYTES:
            return claim
        name = f'answer-{claim.record.nonce}'
        await self.objects.put(name, answer.body)
        moved = msgspec.structs.replace(answer, body=b'', object_name=name)
        record = msgspec.structs.replace(claim.record, answer=moved)
        return msgspec.structs.replace(claim, record=record)

    def _leave(self, outcome: Outcome, reason: str) -> None:
        self.timeline.record(
            EventKind.FAULT,
            reason=reason,
            subject=outcome.claim.row_key,
        )
