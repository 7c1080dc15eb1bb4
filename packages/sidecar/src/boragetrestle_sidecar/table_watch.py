"""Follow a table of the store."""

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import HistoryGoneError, StoreError

if TYPE_CHECKING:
    from boragetrestle_platform.table import Row
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.store_client import StoreClient, TableChanges

POLL_SECONDS = 25.0  # calls are priced; the store holds a poll for 30 s at most
SPREAD = (0.5, 1.5)  # so that nodes don't return together
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 0.9  # entries are due back 2 s after the store's return


class TableWatch:
    """Keep a copy of a table's rows and tell of each change.

    The copy stands while the store is away. ``rest`` is the pause in seconds
    before the next poll after a change, in which further ones gather.
    """

    def __init__(
        self,
        table: str,
        store: 'StoreClient',
        log: 'DecisionLog',
        *,
        changed: 'Callable[[dict[str, Row]], None]',
        chance: random.Random,
        rest: float = 0.0,
    ) -> None:
        self.table = table
        self.store = store
        self.log = log
        self.changed = changed
        self.chance = chance
        self.rest = rest
        self.rows: dict[str, Row] = {}
        self.is_reached = True

    async def run(self) -> None:
        """Follow the table for ever."""
        pause = FIRST_PAUSE_SECONDS
        position: int | None = None
        while True:
            try:
                position = await self._step(position)
            except HistoryGoneError as error:
                position = None
                self.log.always(
                    'store-history-gone',
                    table=self.table,
                    error=str(error),
                )
            except StoreError as error:
                self._note_lost(error)
                await asyncio.sleep(pause * self.chance.uniform(*SPREAD))
                pause = min(LONGEST_PAUSE_SECONDS, pause * 2)
            else:
                pause = FIRST_PAUSE_SECONDS
                self._note_regained()
                await asyncio.sleep(self.rest * self.chance.uniform(*SPREAD))

    async def _step(self, position: int | None) -> int:
        if position is None:
            view = await self.store.view(self.table)
            self.rows = {row.key: row for row in view.rows}
            self.changed(self.rows)
            return view.position
        changes = await self.store.changes(
            self.table,
            position,
            wait=POLL_SECONDS,
        )
        if changes.written or changes.removed:
            self._apply(changes)
            self.changed(self.rows)
        return changes.position

    def _apply(self, changes: 'TableChanges') -> None:
        for key in changes.removed:
            self.rows.pop(key, None)
        for row in changes.written:
            self.rows[row.key] = row

    def _note_lost(self, error: StoreError) -> None:
        if self.is_reached:
            self.is_reached = False
            self.log.always('store-lost', table=self.table, error=str(error))

    def _note_regained(self) -> None:
        if not self.is_reached:
            self.is_reached = True
            self.log.always('store-regained', table=self.table)
