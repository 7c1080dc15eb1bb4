"""Read the rows of all nodes in turn, and remove those of dead ones."""

import random
from collections.abc import Callable

import msgspec
import trio

from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.member_record import (
    NODE_PREFIX,
    Liveness,
    MemberRecord,
)
from boragetrestle_node.members import Members
from boragetrestle_node.rumour_spread import RumourSpread
from boragetrestle_platform.table import (
    Check,
    Delete,
    Row,
    Table,
    Transaction,
)

DEAD_ROW_SECONDS = 3600.0

_PAGE_ROWS = 100
_PAGE_SECONDS = (2.0, 4.0)


class RowSweep:
    """Read one page of rows every few seconds while this node is a reader.

    The sweep joins parts of the fleet that found each other by no other way,
    and removes a row once its node has been dead for an hour. A node that is
    removed wrongly asserts its row again.
    """

    def __init__(
        self,
        table: Table,
        members: Members,
        spread: RumourSpread,
        *,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.members = members
        self.spread = spread
        self.rng = rng
        self.after = ''

    async def run(self, is_reader: Callable[[], bool]) -> None:
        """Sweep until cancelled."""
        while True:
            await trio.sleep(self.rng.uniform(*_PAGE_SECONDS))
            if is_reader():
                try:
                    await self.read_page()
                except StoreError:
                    self.after = ''

    async def read_page(self) -> None:
        """Take the next page of rows; start again after the last one."""
        found = await self.table.scan(
            NODE_PREFIX,
            after=self.after,
            limit=_PAGE_ROWS,
        )
        is_last = len(found.rows) < _PAGE_ROWS
        self.after = '' if is_last else found.rows[-1].key
        for row in found.rows:
            record = msgspec.json.decode(row.content, type=MemberRecord)
            self.spread.take(record)
            if self._is_stale(record):
                await self._remove(row)

    def _is_stale(self, record: MemberRecord) -> bool:
        known = self.members.records.get(record.node)
        if known is None or record.incarnation > known.incarnation:
            return False
        if known.liveness is Liveness.LEFT:
            return True
        is_dead = known.liveness is Liveness.DEAD
        return is_dead and self.members.age(record.node) > DEAD_ROW_SECONDS

    async def _remove(self, row: Row) -> None:
        await self.table.commit(
            Transaction(
                checks=(Check(row.key, row.version),),
                writes=(Delete(row.key),),
            ),
        )
