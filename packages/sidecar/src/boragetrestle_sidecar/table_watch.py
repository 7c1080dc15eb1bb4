"""Watch a table of the store by long polling."""

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import HistoryGoneError, StoreError

if TYPE_CHECKING:
    from boragetrestle_platform.table import Row
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.store_client import StoreClient, TableChanges

# Calls to the store cost money; it holds a poll for 30 s at most.
LONG_POLL_SECONDS = 25.0
JITTER = (0.5, 1.5)  # factors, so that nodes don't poll at the same time
INITIAL_BACKOFF_SECONDS = 0.2
# Rows must be back within 2 s after the store recovers.
MAX_BACKOFF_SECONDS = 0.9


class TableWatch:
    """Keep a copy of a table's rows and pass it to ``on_change`` after changes.

    The copy is kept while the store is unreachable. ``poll_delay`` is the mean
    pause in seconds between an answer and the next poll, so that one poll
    returns several changes.
    """

    def __init__(
        self,
        table: str,
        store: 'StoreClient',
        log: 'DecisionLog',
        *,
        on_change: 'Callable[[dict[str, Row]], None]',
        chance: random.Random,
        poll_delay: float = 0.0,
    ) -> None:
        self.table = table
        self.store = store
        self.log = log
        self.on_change = on_change
        self.chance = chance
        self.poll_delay = poll_delay
        self.rows: dict[str, Row] = {}
        self.is_reachable = True

    async def run(self) -> None:
        """Watch the table; retry with backoff while the store fails."""
        backoff = INITIAL_BACKOFF_SECONDS
        position: int | None = None
        while True:
            try:
                position = await self._poll(position)
            except HistoryGoneError as error:
                position = None
                self.log.write_unlimited(
                    'store-history-gone',
                    table=self.table,
                    error=str(error),
                )
            except StoreError as error:
                self._log_lost(error)
                await asyncio.sleep(backoff * self.chance.uniform(*JITTER))
                backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
            else:
                backoff = INITIAL_BACKOFF_SECONDS
                self._log_regained()
                await asyncio.sleep(
                    self.poll_delay * self.chance.uniform(*JITTER)
                )

    async def _poll(self, position: int | None) -> int:
        if position is None:
            view = await self.store.view(self.table)
            self.rows = {row.key: row for row in view.rows}
            self.on_change(self.rows)
            return view.position
        changes = await self.store.changes(
            self.table,
            position,
            wait=LONG_POLL_SECONDS,
        )
        if changes.written or changes.removed:
            self._apply_changes(changes)
            self.on_change(self.rows)
        return changes.position

    def _apply_changes(self, changes: 'TableChanges') -> None:
        for key in changes.removed:
            self.rows.pop(key, None)
        for row in changes.written:
            self.rows[row.key] = row

    def _log_lost(self, error: StoreError) -> None:
        if self.is_reachable:
            self.is_reachable = False
            self.log.write_unlimited(
                'store-lost', table=self.table, error=str(error)
            )

    def _log_regained(self) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            self.log.write_unlimited('store-regained', table=self.table)
