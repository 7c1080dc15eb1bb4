"""Keep in the store which requests crash targets, for a fleet that restarts.

All nodes may be killed at once, and with them all that they told each other. A
blocked request would then crash targets again until it is blocked anew.
"""

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Annotated

import msgspec

from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.json_decoding import decode_json
from boragetrestle_platform.table import Delete, Put, Transaction
from boragetrestle_sidecar.peer_numbers import Count
from boragetrestle_sidecar.suspects import MAX_COUNTED_CRASHES, block_seconds

if TYPE_CHECKING:
    from boragetrestle_platform.table import Row
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.store_client import StoreClient
    from boragetrestle_sidecar.tree_exchange import TreeExchange

SUSPECTS_TABLE = 'suspects'
RETRY_SECONDS = 0.5
MAX_PENDING = 500  # while the store is away
# The store takes 100 entries in one transaction.
MAX_ROWS_A_WRITE = 50
# How often a node that has just started looks whether it is one of those that
# load, and for how long; later the others tell it.
ROLE_CHECK_SECONDS = 0.1
MAX_ROLE_WAIT_SECONDS = 5.0
MAX_FINGERPRINT_BYTES = 64
MAX_ROW_CRASHES = 64  # more than count


class SuspectRow(msgspec.Struct, frozen=True):
    """The crashes of a blocked request, by their numbers.

    ``crashed_at`` is the time of the newest, in milliseconds of the wall clock.

    >>> row = SuspectRow([7, 8, 9], 5000)
    >>> msgspec.json.decode(row.encode(), type=SuspectRow) == row
    True
    """

    crashes: Annotated[list[Count], msgspec.Meta(max_length=MAX_ROW_CRASHES)]
    crashed_at: Count

    def encode(self) -> bytes:
        """Return the content of the row, a JSON object."""
        return msgspec.json.encode(self)

    def is_over(self, now_ms: float) -> bool:
        """Return whether the request is no longer blocked.

        A crash that lies ahead by as much was noted before the clock was set.
        """
        blocked_ms = block_seconds(len(self.crashes)) * 1000
        return abs(now_ms - self.crashed_at) > blocked_ms


class SuspectArchive:
    """Load the blocked requests at the start, and save those that are new.

    The node that sees a crash saves what it blocks, and so does the root of the
    tree, which hears of all. Rows that are over are removed with the next write.
    ``reads`` returns whether this node loads, and passes on what it finds.
    """

    def __init__(
        self,
        tree: 'TreeExchange',
        store: 'StoreClient',
        log: 'DecisionLog',
        *,
        is_first_start: bool,
        reads: Callable[[], bool],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.tree = tree
        self.suspects = tree.suspects
        self.store = store
        self.log = log
        self.is_first_start = is_first_start
        self.reads = reads
        self.wall_clock = wall_clock
        self.changed: dict[str, None] = {}
        self.write_needed = asyncio.Event()
        self.suspects.on_turned = self.note_turned

    def note_turned(self, request_fingerprint: str, *, is_own: bool) -> None:
        """Request a write, since a request is blocked or was answered."""
        if not is_own and not self.tree.is_root:
            return
        if len(self.changed) < MAX_PENDING:
            self.changed[request_fingerprint] = None
            self.write_needed.set()

    async def run(self) -> None:
        """Load the rows once, then save changes until cancelled."""
        if not self.is_first_start:
            await self._load_if_due()
        while True:
            await self.write_needed.wait()
            try:
                await self._write()
            except StoreError as error:
                self.log.write_limited('suspects-not-saved', error=str(error))
                await asyncio.sleep(RETRY_SECONDS)

    async def _load_if_due(self) -> None:
        waited = 0.0
        while not self.reads() and waited < MAX_ROLE_WAIT_SECONDS:
            await asyncio.sleep(ROLE_CHECK_SECONDS)
            waited += ROLE_CHECK_SECONDS
        while self.reads():
            try:
                view = await self.store.view(SUSPECTS_TABLE)
            except StoreError as error:
                self.log.write_limited('suspects-not-loaded', error=str(error))
                await asyncio.sleep(RETRY_SECONDS)
            else:
                self._apply(view.rows)
                return

    def _apply(self, rows: 'tuple[Row, ...]') -> None:
        """Block what the rows say, here and at the nodes of the tree."""
        now_ms = self.wall_clock() * 1000
        for row in rows:
            found = self._decode(row)
            if found is None or found.is_over(now_ms):
                continue
            for crash in found.crashes:
                if self.tree.pass_crash_on(crash, row.key, has_crashed=True):
                    self.suspects.record_crash(row.key, is_own=False)
            self.changed.pop(row.key, None)
            self.log.write_limited(
                'suspect-loaded', found=row.key, crashes=len(found.crashes)
            )
        if not self.changed:
            self.write_needed.clear()

    async def _write(self) -> None:
        """Write what has changed, and remove the rows that are over."""
        view = await self.store.view(SUSPECTS_TABLE)
        now_ms = self.wall_clock() * 1000
        known = {row.key: self._decode(row) for row in view.rows}
        changed = list(self.changed)[:MAX_ROWS_A_WRITE]
        blocked = [each for each in changed if self.suspects.is_blocked(each)]
        removed = [
            key
            for key, row in known.items()
            if key not in blocked
            and (key in changed or row is None or row.is_over(now_ms))
        ]
        writes: list[Put | Delete] = [
            Put(each, self._row(each).encode()) for each in blocked
        ]
        writes += map(Delete, removed[:MAX_ROWS_A_WRITE])
        if writes:
            transaction = Transaction(checks=(), writes=tuple(writes))
            await self.store.commit(SUSPECTS_TABLE, transaction)
        for each in changed:
            self.changed.pop(each, None)
        if not self.changed:
            self.write_needed.clear()

    def _row(self, found: str) -> SuspectRow:
        crashes = self.tree.crashes_of(found)[-MAX_COUNTED_CRASHES:]
        return SuspectRow(crashes, int(self.wall_clock() * 1000))

    def _decode(self, row: 'Row') -> SuspectRow | None:
        """Return what a row says, None if another writer has left it."""
        try:
            found = decode_json(row.content, SuspectRow)
        except msgspec.DecodeError as error:
            self.log.write_limited('suspect-refused', error=str(error))
            return None
        return found if len(row.key) <= MAX_FINGERPRINT_BYTES else None
