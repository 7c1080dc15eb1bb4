"""Client of a table with timeouts, retries and an estimate of its time."""

from collections.abc import Sequence

import trio

from boragetrestle_platform.store_guard import StoreGuard
from boragetrestle_platform.table import Committed, Rows, Table, Transaction


class GuardedTable:
    """Run the operations of a table and estimate the time of its clock.

    Each answer carries the time at which the store handled the request. That
    was between sending the request and receiving the answer, which gives a
    lower and an upper bound of the store's time now. Times are in seconds.
    """

    def __init__(self, table: Table, guard: StoreGuard) -> None:
        self.table = table
        self.guard = guard
        self.min_offset: float | None = None
        self.max_offset: float | None = None

    def earliest_store_time(self) -> float | None:
        """Return the lower bound of the store's time; ``None`` if unknown."""
        if self.min_offset is None:
            return None
        return trio.current_time() + self.min_offset

    def latest_store_time(self) -> float | None:
        """Return the upper bound of the store's time; ``None`` if unknown."""
        if self.max_offset is None:
            return None
        return trio.current_time() + self.max_offset

    async def read(self, keys: Sequence[str]) -> Rows:
        """Return the rows that exist for these keys."""

        async def operate() -> Rows:
            sent_at = trio.current_time()
            rows = await self.table.read(keys)
            self._update_offsets(rows.store_time, sent_at)
            return rows

        return await self.guard.read(operate)

    async def scan(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 1000,
    ) -> Rows:
        """Return rows whose key has a prefix, in key order, after a key."""
        return await self.guard.read(
            lambda: self.table.scan(prefix, after=after, limit=limit),
        )

    async def commit(self, transaction: Transaction) -> Committed:
        """Apply a transaction once; it is not retried if unanswered."""

        async def operate() -> Committed:
            sent_at = trio.current_time()
            committed = await self.table.commit(transaction)
            self._update_offsets(committed.store_time, sent_at)
            return committed

        return await self.guard.write(operate)

    def _update_offsets(self, store_time: float, sent_at: float) -> None:
        self.min_offset = store_time - trio.current_time()
        self.max_offset = store_time - sent_at
