"""Save in the store what has to outlast this node about its target.

All nodes may be killed at once, and with them all that they told each other. A
target that has left would then get requests again after one late report.
"""

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from boragetrestle_kernel.errors import StoreError
from boragetrestle_platform.table import ABSENT, Check, Put, Transaction
from boragetrestle_sidecar.target_record import TargetRecord, decode_record

if TYPE_CHECKING:
    from boragetrestle_platform.table import Row
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.store_client import StoreClient

TARGETS_TABLE = 'targets'
RECORD_KEY = 'record'
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.9
JITTER = (0.5, 1.5)  # factors, so that nodes don't call at the same time
# After the store has come back from an older copy, nodes write within this.
REWRITE_SECONDS = 2.0


class TargetArchive:
    """Read the record of the host's target at the start, and write changes.

    Each node has a part of the table for itself, so that nodes do not wait for
    each other when many targets leave at once. A write is conditional on the
    row that was read before it, so that one whose answer was lost cannot undo a
    later one. ``stored`` and ``version`` are those of the row; after a write the
    version is not known, and at the first start of a fleet there is no row.
    """

    def __init__(
        self,
        address: str,
        guard: 'Guard',
        store: 'StoreClient',
        log: 'DecisionLog',
        *,
        is_first_start: bool,
        chance: random.Random,
    ) -> None:
        self.address = address
        self.guard = guard
        self.target = guard.reported_target
        self.store = store
        self.log = log
        self.chance = chance
        self.epoch: int | None = None
        self.stored = TargetRecord()
        self.version = ABSENT if is_first_start else None
        self.saved_revision = self.target.revision
        self.sync_needed = asyncio.Event()
        self.synced = asyncio.Condition()
        if not is_first_start:
            self.target.await_record()
            self.sync_needed.set()

    @property
    def is_saved(self) -> bool:
        """Whether the store has all that is to outlast this node.

        A report that is held back until the record is read may be a drain.
        """
        is_current = self.saved_revision == self.target.revision
        return is_current and self.target.is_settled

    def check(self) -> None:
        """Request a write if something has changed."""
        if not self.is_saved:
            self.sync_needed.set()

    def check_epoch(self, epoch: int) -> None:
        """Write the record again if the store came back from an older copy."""
        before = self.epoch
        self.epoch = epoch
        if before is None or epoch <= before:
            return
        if self.target.record == TargetRecord():
            return
        asyncio.get_running_loop().call_later(
            self.chance.uniform(0, REWRITE_SECONDS), self._rewrite
        )

    async def wait_until_saved(self, seconds: float) -> bool:
        """Wait for the store to have the record; return whether it has."""
        self.check()
        try:
            async with asyncio.timeout(seconds), self.synced:
                await self.synced.wait_for(lambda: self.is_saved)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Read the record, and write it whenever it changes, for ever."""
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            await self.sync_needed.wait()
            self.sync_needed.clear()
            try:
                await self._sync()
            except StoreError as error:
                self.log.write_limited('target-not-saved', error=str(error))
                self.sync_needed.set()
                await asyncio.sleep(backoff * self.chance.uniform(*JITTER))
                backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
            else:
                backoff = INITIAL_BACKOFF_SECONDS

    def _rewrite(self) -> None:
        self.version = None
        self.saved_revision = -1
        self.sync_needed.set()

    async def _sync(self) -> None:
        """Take over the row, and write it if this node knows more."""
        if self.version is None:
            await self._read()
        revision = self.target.revision
        record = self.target.record
        if record != self.stored and not await self._write(record):
            self.sync_needed.set()
            return
        self.saved_revision = revision
        async with self.synced:
            self.synced.notify_all()

    async def _read(self) -> None:
        view = await self.store.view(TARGETS_TABLE, part=self.address)
        row = {each.key: each for each in view.rows}.get(RECORD_KEY)
        self.version = ABSENT if row is None else row.version
        self.stored = self._decode(row)
        self.guard.apply_record(self.stored)

    async def _write(self, record: TargetRecord) -> bool:
        """Replace the row; return whether it was still the known one."""
        assert self.version is not None
        transaction = Transaction(
            checks=(Check(RECORD_KEY, self.version),),
            writes=(Put(RECORD_KEY, record.encode()),),
        )
        self.version = None
        committed = await self.store.commit(
            TARGETS_TABLE, transaction, part=self.address
        )
        if not committed.is_committed:
            return False
        self.stored = record
        self.log.write_limited(
            'target-saved',
            started_at=record.started_at,
            left=[*record.left, *record.left_by],
        )
        return True

    def _decode(self, row: 'Row | None') -> TargetRecord:
        """Return the record in a row; one that cannot be read says nothing."""
        if row is None:
            return TargetRecord()
        try:
            return decode_record(row.content)
        except msgspec.DecodeError as error:
            self.log.write_limited('target-record-refused', error=str(error))
            return TargetRecord()
