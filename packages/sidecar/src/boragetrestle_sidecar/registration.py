"""Maintain this node's row in the store's table of nodes."""

import asyncio
import json
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_platform.table import (
    ABSENT,
    Check,
    Delete,
    Put,
    Row,
    Transaction,
)

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.store_client import StoreClient

NODES_TABLE = 'nodes'
RETRY_SECONDS = 0.5  # rows must be back within 2 s after the store recovers


class Registration:
    """Write the row when it is missing and remove it at a planned stop.

    Every write is conditional on the row's version, so that a write whose
    answer was lost can't be applied after a later one.
    """

    def __init__(
        self,
        address: str,
        domain: str,
        store: 'StoreClient',
        log: 'DecisionLog',
    ) -> None:
        self.address = address
        self.content = json.dumps({'domain': domain}).encode()
        self.store = store
        self.log = log
        self.row: Row | None = None
        self.write_needed = asyncio.Event()
        self.is_stopping = False

    def update_row(self, rows: dict[str, Row]) -> None:
        """Look up this node's row; request a write if it is missing."""
        self.row = rows.get(self.address)
        if self.row is None and not self.is_stopping:
            self.write_needed.set()

    async def run(self) -> None:
        """Write the row whenever it is missing, for ever."""
        while True:
            await self.write_needed.wait()
            self.write_needed.clear()
            if self.row is None:
                await self._write_row()

    async def remove(self) -> None:
        """Remove the row; if the store fails, the row stays."""
        self.is_stopping = True
        try:
            await self._remove_row()
        except StoreError as error:
            self.log.write_unlimited('registration-kept', error=str(error))

    async def _remove_row(self) -> None:
        row = self.row
        if row is None:
            view = await self.store.view(NODES_TABLE)
            row = {found.key: found for found in view.rows}.get(self.address)
        if row is None:
            return
        transaction = Transaction(
            checks=(Check(self.address, row.version),),
            writes=(Delete(self.address),),
        )
        await self.store.commit(NODES_TABLE, transaction)

    async def _write_row(self) -> None:
        transaction = Transaction(
            checks=(Check(self.address, ABSENT),),
            writes=(Put(self.address, self.content),),
        )
        try:
            committed = await self.store.commit(NODES_TABLE, transaction)
        except OutcomeUnknownError as error:
            self.log.write_unlimited('registration-unknown', error=str(error))
        except StoreError as error:
            self.log.write_limited('registration-failed', error=str(error))
        else:
            self.log.write_unlimited(
                'registered', is_new=committed.is_committed
            )
            return
        await asyncio.sleep(RETRY_SECONDS)
        self.write_needed.set()
