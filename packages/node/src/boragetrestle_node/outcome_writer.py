"""Write the outcomes of claimed calls to the table in the background."""

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

MAX_INLINE_BODY_BYTES = 8_192
MAX_PENDING_UPDATES = 1_000
MAX_RETRY_SECONDS = 7_200.0

_MAX_BACKOFF_SECONDS = 30.0
_FIRST_BACKOFF_SECONDS = 0.25
_BACKOFF_FACTOR = 2.0
_JITTER_RANGE = (0.5, 1.0)


class ClaimUpdate(NamedTuple):
    """A claim to write, with the bytes that it has reserved in the budget.

    ``is_uncertain_insert`` marks a claim whose insertion may or may not have
    taken effect; it is to be released.
    """

    claim: Claim
    reserved_bytes: int = 0
    is_uncertain_insert: bool = False


class OutcomeWriter:
    """Write claim updates, with retries while the store fails.

    If the node ends before, the claim stays in the running state, and the
    outcome of its call counts as unknown once the claim's time is over. The
    same holds for updates beyond ``MAX_PENDING_UPDATES``, which are dropped.
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
        self.pending_count = 0
        self.idle = trio.Event()
        self.idle.set()
        self.nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the background writes until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def start_write(self, update: ClaimUpdate) -> trio.Event:
        """Start to write an update; return an event set when that ends."""
        written = trio.Event()
        if self.nursery is None or self.pending_count >= MAX_PENDING_UPDATES:
            self._report_dropped(
                update,
                'claim update dropped: too many updates are waiting',
            )
            written.set()
            return written
        self.pending_count += 1
        self.idle = trio.Event() if self.idle.is_set() else self.idle
        self.nursery.start_soon(self._write, update, written)
        return written

    async def flush(self) -> None:
        """Wait until no update is left to write."""
        await self.idle.wait()

    async def _write(self, update: ClaimUpdate, written: trio.Event) -> None:
        try:
            with trio.move_on_after(MAX_RETRY_SECONDS) as scope:
                await self._write_with_retries(update)
            if scope.cancelled_caught:
                self._report_dropped(
                    update,
                    'claim update dropped: the store accepted no write in time',
                )
        finally:
            self.budget.release(update.reserved_bytes)
            self.pending_count -= 1
            written.set()
            if not self.pending_count:
                self.idle.set()

    async def _write_with_retries(self, update: ClaimUpdate) -> None:
        backoff = _FIRST_BACKOFF_SECONDS
        while True:
            try:
                await self._try_write(update)
            except StoreError:
                await trio.sleep(backoff * self.rng.uniform(*_JITTER_RANGE))
                backoff = min(_MAX_BACKOFF_SECONDS, backoff * _BACKOFF_FACTOR)
            else:
                return

    async def _try_write(self, update: ClaimUpdate) -> None:
        if update.is_uncertain_insert:
            await self._release_uncertain(update.claim)
            return
        await self.claims.write_if_unchanged(
            await self._offload_body(update.claim)
        )

    async def _release_uncertain(self, claim: Claim) -> None:
        """Release a claim whose insertion may or may not have taken effect.

        First writes a released claim with the same version. If that succeeds,
        the insertion can no longer pass its version check. Otherwise the row is
        read, and released if it holds this very claim, nonce included.
        """
        record = msgspec.structs.replace(
            claim.record,
            state=ClaimState.RELEASED,
        )
        fence = msgspec.structs.replace(claim, record=record)
        if await self.claims.write_if_unchanged(fence):
            return
        found = await self.claims.read_claim(claim.row_key)
        if found is None or found.claim.record != claim.record:
            return
        await self.claims.write_if_unchanged(
            next_claim(found.claim, ClaimState.RELEASED)
        )

    async def _offload_body(self, claim: Claim) -> Claim:
        """Store a large body as an object and put its name in the claim."""
        answer = claim.record.answer
        if answer is None or len(answer.body) <= MAX_INLINE_BODY_BYTES:
            return claim
        name = f'answer-{claim.record.nonce}'
        await self.objects.put(name, answer.body)
        moved = msgspec.structs.replace(answer, body=b'', object_name=name)
        record = msgspec.structs.replace(claim.record, answer=moved)
        return msgspec.structs.replace(claim, record=record)

    def _report_dropped(self, update: ClaimUpdate, reason: str) -> None:
        self.timeline.record(
            EventKind.FAULT,
            reason=reason,
            subject=update.claim.row_key,
        )
