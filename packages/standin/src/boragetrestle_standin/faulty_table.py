"""A table with fault injection."""

from collections.abc import Sequence

import trio

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_platform.table import Committed, Rows, Table, Transaction
from boragetrestle_standin.faults import StoreFaults

_TIMEOUT_SECONDS = 2.0


class FaultyTable:
    """Forward calls to a table unless a fault is set."""

    def __init__(self, table: Table, faults: StoreFaults) -> None:
        self.table = table
        self.faults = faults

    async def read(self, keys: Sequence[str]) -> Rows:
        """Return the rows that exist among some keys."""
        await self._inject_faults()
        self._inject_lost_read()
        return await self.table.read(keys)

    async def scan(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 1000,
    ) -> Rows:
        """Return rows by prefix, in order of key, after a key."""
        await self._inject_faults()
        self._inject_lost_read()
        return await self.table.scan(prefix, after=after, limit=limit)

    async def commit(self, transaction: Transaction) -> Committed:
        """Apply a transaction."""
        await self._inject_faults()
        committed = await self.table.commit(transaction)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise OutcomeUnknownError('the answer was lost')
        return committed

    def _inject_lost_read(self) -> None:
        if self.faults.lost_reads:
            self.faults.lost_reads -= 1
            raise StoreError('the answer was lost')

    async def _inject_faults(self) -> None:
        if self.faults.is_down:
            await trio.sleep(_TIMEOUT_SECONDS)
            raise StoreError('the table is down')
        await trio.sleep(self.faults.delay)
