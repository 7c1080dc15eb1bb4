"""A table behind a guard."""

from collections.abc import Sequence

import trio

from boragetrestle_platform.store_guard import StoreGuard
from boragetrestle_platform.table import Committed, Rows, Table, Transaction


class GuardedTable:
    """Pass operations on to a table and keep its time."""

    def __init__(self, table: Table, guard: StoreGuard) -> None:
        self.table = table
        self.guard = guard
        self.clock_offset: float | None = None

    def store_now(self) -> float | None:
        """Return the store's time in seconds, ``None`` before any answer."""
        if self.clock_offset is None:
            return None
        return trio.current_time() + self.clock_offset

    async def read(self, keys: Sequence[str]) -> Rows:
        """Return the rows that exist among some keys."""
        rows = await self.guard.read(lambda: self.table.read(keys))
        self._note(rows.store_time)
        return rows

    async def scan(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 1000,
    ) -> Rows:
        """Return rows by prefix, in order of key, after a key."""
        rows = await self.guard.read(
            lambda: self.table.scan(prefix, after=after, limit=limit),
        )
        self._note(rows.store_time)
        return rows

    async def commit(self, transaction: Transaction) -> Committed:
        """Apply a transaction; it is not repeated without an answer."""
        committed = await self.guard.write(
            lambda: self.table.commit(transaction),
        )
        self._note(committed.store_time)
        return committed

    def _note(self, store_time: float) -> None:
        self.clock_offset = store_time - trio.current_time()
