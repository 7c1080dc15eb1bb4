"""Remove expired claims from the table, a bounded page at a time."""

import random
from collections.abc import Callable
from contextlib import suppress

import trio

from boragetrestle_kernel.codec import decode
from boragetrestle_kernel.errors import StoreError, WireError
from boragetrestle_node.claim_record import CLAIM_PREFIX, ClaimRecord
from boragetrestle_platform.object_store import ObjectStore
from boragetrestle_platform.table import (
    Check,
    Delete,
    Row,
    Table,
    Transaction,
)

KEPT_SECONDS = 86_400.0
FLEET_SWEEP_SECONDS = 2.0
PAGE_ROWS = 200

_START_BITS = 32
_JITTER = (0.5, 1.5)


class ClaimSweeper:
    """Sweep pages at random places, once in a while over the whole fleet.

    Claims expire ``KEPT_SECONDS`` after their running time is over. Each node
    sweeps once in ``FLEET_SWEEP_SECONDS`` times the number of nodes, so that
    the load on the table does not grow with the fleet.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        *,
        node_count: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.table = table
        self.objects = objects
        self.node_count = node_count
        self.rng = rng

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            pause = FLEET_SWEEP_SECONDS * max(1, self.node_count())
            await trio.sleep(pause * self.rng.uniform(*_JITTER))
            start = f'{CLAIM_PREFIX}{self.rng.getrandbits(_START_BITS):08x}'
            with suppress(StoreError):
                await self.sweep(start)

    async def sweep(self, after: str = '') -> int:
        """Remove the expired claims of one page; return how many."""
        found = await self.table.scan(
            CLAIM_PREFIX,
            after=after,
            limit=PAGE_ROWS,
        )
        expired = [
            row for row in found.rows if _is_expired(row, found.store_time)
        ]
        if not expired:
            return 0
        for row in expired:
            await self._delete_body(row)
        transaction = Transaction(
            checks=tuple(Check(row.key, row.version) for row in expired),
            writes=tuple(Delete(row.key) for row in expired),
        )
        committed = await self.table.commit(transaction)
        return len(expired) if committed.is_committed else 0

    async def _delete_body(self, row: Row) -> None:
        answer = decode(row.content, ClaimRecord).answer
        if answer is not None and answer.object_name:
            await self.objects.delete(answer.object_name)


def _is_expired(row: Row, store_time: float) -> bool:
    try:
        record = decode(row.content, ClaimRecord)
    except WireError:
        return False
    return store_time > record.until + KEPT_SECONDS
