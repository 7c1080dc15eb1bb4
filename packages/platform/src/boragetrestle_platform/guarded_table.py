"""A table behind a guard."""

from collections.abc import Sequence

import trio

from boragetrestle_platform.store_guard import StoreGuard
from boragetrestle_platform.table import Committed, Rows, Table, Transaction


class GuardedTable:
    """Pass operations on to a table and keep its time.

    The store told its time between the sending of a request and the arrival
    of its answer, so its time now is known within these bounds.
    """

    def __init__(self, table: Table, guard: StoreGuard) -> None:
        self.table = table
        self.guard = guard
        self.least_offset: float | None = None
        self.most_offset: float | None = None

    def store_now(self) -> float | None:
        """Return the least store time now, ``None`` before any answer."""
        if self.least_offset is None:
            return None
        return trio.current_time() + self.least_offset

    def latest_store_now(self) -> float | None:
        """Return the greatest store time now, ``None`` before any answer."""
        if self.most_offset is None:
            return None
        return trio.current_time() + self.most_offset

    async def read(self, keys: Sequence[str]) -> Rows:
        """Return the rows that exist among some keys."""

        async def operate() -> Rows:
            sent_at = trio.current_time()
            rows = await self.table.read(keys)
            self._note(rows.store_time, sent_at)
            return rows

        return await self.guard.read(operate)

    async def scan(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 1000,
    ) -> Rows:
        """Return rows by prefix, in order of key, after a key."""
        return await self.guard.read(
            lambda: self.table.scan(prefix, after=after, limit=limit),
        )

    async def commit(self, transaction: Transaction) -> Committed:
        """Apply a transaction; it is not repeated without an answer."""

        async def operate() -> Committed:
            sent_at = trio.current_time()
            committed = await self.table.commit(transaction)
            self._note(committed.store_time, sent_at)
            return committed

        return await self.guard.write(operate)

    def _note(self, store_time: float, sent_at: float) -> None:
        self.least_offset = store_time - trio.current_time()
        self.most_offset = store_time - sent_at
