"""Count the calls to the store by result."""

from collections.abc import Awaitable
from typing import TYPE_CHECKING, TypeVar

from boragetrestle_kernel.errors import StoreError

if TYPE_CHECKING:
    from boragetrestle_platform.table import Committed, Transaction
    from boragetrestle_sidecar.store_client import (
        StoreClient,
        TableChanges,
        TableView,
    )
    from boragetrestle_sidecar.telemetry import Telemetry

_Answer = TypeVar('_Answer')


class CountedStore:
    """Forward calls to a store client and count them in the metrics.

    The result that a call is counted under is ``ok`` or the error's class name.
    """

    def __init__(self, store: 'StoreClient', telemetry: 'Telemetry') -> None:
        self.store = store
        self.telemetry = telemetry

    async def view(self, table: str, *, part: str = '') -> 'TableView':
        """Return a snapshot of one part of a table."""
        return await self._count('view', self.store.view(table, part=part))

    async def changes(
        self,
        table: str,
        position: int,
        *,
        wait: float,
    ) -> 'TableChanges':
        """Return the changes since a position, after up to ``wait`` seconds."""
        call = self.store.changes(table, position, wait=wait)
        return await self._count('changes', call)

    async def commit(
        self,
        table: str,
        transaction: 'Transaction',
        *,
        part: str = '',
    ) -> 'Committed':
        """Apply a transaction to one part of a table if all checks hold."""
        call = self.store.commit(table, transaction, part=part)
        return await self._count('commit', call)

    async def _count(self, name: str, call: Awaitable[_Answer]) -> _Answer:
        try:
            answer = await call
        except StoreError as error:
            self.telemetry.store_calls[name, type(error).__name__] += 1
            raise
        self.telemetry.store_calls[name, 'ok'] += 1
        return answer
