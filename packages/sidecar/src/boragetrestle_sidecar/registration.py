"""Maintain this node's row in the store's table of nodes."""

import asyncio
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_platform.table import (
    ABSENT,
    Check,
    Delete,
    Put,
    Transaction,
)

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.member import Member
    from boragetrestle_sidecar.member_table import MemberRow
    from boragetrestle_sidecar.store_client import StoreClient

NODES_TABLE = 'nodes'
RETRY_SECONDS = 0.5  # rows must be back within 2 s after the store recovers


class Registration:
    """Write the row when it is missing and remove it at a planned stop.

    Every write is conditional on the row's version, so that a write whose
    answer was lost can't be applied after a later one. ``epoch`` is the newest
    epoch of the store that any node has seen: a row of an earlier one is not in
    the store any more unless another node has read it there.
    """

    def __init__(
        self,
        own: 'Member',
        store: 'StoreClient',
        log: 'DecisionLog',
    ) -> None:
        self.address = own.address
        self.content = own.encode()
        self.store = store
        self.log = log
        self.row: MemberRow | None = None
        self.epoch = 0
        self.write_needed = asyncio.Event()
        self.is_stopping = False

    @property
    def is_registered(self) -> bool:
        """Whether the store is known to have this node's row as it should be."""
        row = self.row
        return (
            row is not None
            and row.content == self.content
            and row.epoch >= self.epoch
        )

    def update_row(self, row: 'MemberRow | None') -> None:
        """Take over what is known of the row; request a write if it is wrong."""
        self.row = row
        self.check()

    def check(self) -> None:
        """Request a write if the store lacks the row."""
        if not self.is_registered and not self.is_stopping:
            self.write_needed.set()

    async def run(self) -> None:
        """Write the row whenever it is missing, for ever."""
        while True:
            await self.write_needed.wait()
            self.write_needed.clear()
            if self.is_registered:
                continue
            try:
                await self._write_row()
            except Exception:
                self.write_needed.set()
                raise

    async def remove(self) -> None:
        """Remove the row; if the store fails, the row stays."""
        self.is_stopping = True
        try:
            await self._remove_row()
        except StoreError as error:
            self.log.write_unlimited('registration-kept', error=str(error))

    async def _remove_row(self) -> None:
        row = self.row
        if row is not None and row.epoch == self.epoch:
            version = row.version
        else:
            view = await self.store.view(NODES_TABLE)
            found = {each.key: each for each in view.rows}.get(self.address)
            if found is None:
                return
            version = found.version
        transaction = Transaction(
            checks=(Check(self.address, version),),
            writes=(Delete(self.address),),
        )
        await self.store.commit(NODES_TABLE, transaction)

    async def _write_row(self) -> None:
        row = self.row
        version = ABSENT
        if row is not None and row.epoch == self.epoch:
            version = row.version
        transaction = Transaction(
            checks=(Check(self.address, version),),
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
                'registered',
                is_new=committed.is_committed,
                epoch=self.epoch,
            )
            return
        await asyncio.sleep(RETRY_SECONDS)
        self.write_needed.set()
