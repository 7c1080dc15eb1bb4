"""A table inside the process, for tests and the ``trial`` command."""

from bisect import bisect_right
from collections.abc import Callable, Sequence

import trio

from boragetrestle_platform.table import (
    ABSENT,
    Committed,
    Delete,
    Put,
    Row,
    Rows,
    Transaction,
)


class MemoryTable:
    """Keep rows in a dictionary; every transaction is atomic.

    ``now`` returns the store's time in seconds.
    """

    def __init__(self, *, now: Callable[[], float] = trio.current_time) -> None:
        self.now = now
        self.rows: dict[str, Row] = {}
        self.reads = 0
        self.commits = 0

    async def read(self, keys: Sequence[str]) -> Rows:
        """Return the rows that exist among some keys."""
        await trio.lowlevel.checkpoint()
        self.reads += 1
        found = tuple(self.rows[key] for key in keys if key in self.rows)
        return Rows(rows=found, store_time=self.now())

    async def scan(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 1000,
    ) -> Rows:
        """Return up to ``limit`` rows by prefix, in key order, after a key."""
        await trio.lowlevel.checkpoint()
        self.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        start = bisect_right(keys, after)
        found = tuple(self.rows[key] for key in keys[start : start + limit])
        return Rows(rows=found, store_time=self.now())

    async def commit(self, transaction: Transaction) -> Committed:
        """Apply all writes if every check holds, else none."""
        await trio.lowlevel.checkpoint()
        return self.commit_now(transaction)

    def commit_now(self, transaction: Transaction) -> Committed:
        """Apply a transaction without yielding to other tasks."""
        self.commits += 1
        failed = tuple(
            check.key
            for check in transaction.checks
            if self._version(check.key) != check.version
        )
        if not failed:
            for write in transaction.writes:
                self._apply_write(write)
        return Committed(
            is_committed=not failed,
            store_time=self.now(),
            failed=failed,
        )

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else ABSENT

    def _apply_write(self, write: Put | Delete) -> None:
        if isinstance(write, Delete):
            self.rows.pop(write.key, None)
            return
        self.rows[write.key] = Row(
            key=write.key,
            content=write.content,
            version=self._version(write.key) + 1,
        )
