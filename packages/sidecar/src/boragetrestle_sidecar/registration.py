"""Keep this node's row in the store's table of nodes."""

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
PAUSE_SECONDS = 0.5  # rows are due back 2 s after the store's return


class Registration:
    """Write the row when it is missing and remove it at a planned stop.

    Every write names the version that it expects, so that one whose answer is
    lost can't be applied after a later one.
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
        self.wanted = asyncio.Event()
        self.is_stopping = False

    def note(self, rows: dict[str, Row]) -> None:
        """Take the table's rows; a missing row is written again."""
        self.row = rows.get(self.address)
        if self.row is None and not self.is_stopping:
            self.wanted.set()

    async def run(self) -> None:
        """Write the row whenever it is missing."""
        while True:
            await self.wanted.wait()
            self.wanted.clear()
            if self.row is None:
                await self._write()

    async def remove(self) -> None:
        """Remove the row; without the store it stays."""
        self.is_stopping = True
        try:
            await self._remove()
        except StoreError as error:
            self.log.always('registration-kept', error=str(error))

    async def _remove(self) -> None:
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

    async def _write(self) -> None:
        transaction = Transaction(
            checks=(Check(self.address, ABSENT),),
            writes=(Put(self.address, self.content),),
        )
        try:
            committed = await self.store.commit(NODES_TABLE, transaction)
        except OutcomeUnknownError as error:
            self.log.always('registration-unknown', error=str(error))
        except StoreError as error:
            self.log.line('registration-failed', error=str(error))
        else:
            self.log.always('registered', is_new=committed.is_committed)
            return
        await asyncio.sleep(PAUSE_SECONDS)
        self.wanted.set()
