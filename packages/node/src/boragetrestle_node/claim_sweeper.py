"""Delete expired claims from the table, one bounded page at a time."""

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

CLAIM_RETENTION_SECONDS = 86_400.0
FLEET_SWEEP_INTERVAL_SECONDS = 2.0
MAX_PAGE_ROWS = 200

_START_KEY_BITS = 32
_JITTER_RANGE = (0.5, 1.5)


class ClaimSweeper:
    """Periodically scan a page of claims at a random key and delete old ones.

    Claims expire ``CLAIM_RETENTION_SECONDS`` after their ``until`` time. Each
    node sweeps about once in ``FLEET_SWEEP_INTERVAL_SECONDS`` times the number
    of nodes, so that the load on the table does not grow with the fleet.
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
            pause = FLEET_SWEEP_INTERVAL_SECONDS * max(1, self.node_count())
            await trio.sleep(pause * self.rng.uniform(*_JITTER_RANGE))
            start = f'{CLAIM_PREFIX}{self.rng.getrandbits(_START_KEY_BITS):08x}'
            with suppress(StoreError):
                await self.sweep(start)

    async def sweep(self, after: str = '') -> int:
        """Delete the expired claims among the rows that follow a key.

        Returns how many; none if a row was changed at the same time.
        """
        page = await self.table.scan(
            CLAIM_PREFIX,
            after=after,
            limit=MAX_PAGE_ROWS,
        )
        expired = [
            row for row in page.rows if _is_expired(row, page.store_time)
        ]
        if not expired:
            return 0
        for row in expired:
            await self._delete_stored_body(row)
        transaction = Transaction(
            checks=tuple(Check(row.key, row.version) for row in expired),
            writes=tuple(Delete(row.key) for row in expired),
        )
        commit_result = await self.table.commit(transaction)
        return len(expired) if commit_result.is_committed else 0

    async def _delete_stored_body(self, row: Row) -> None:
        answer = decode(row.content, ClaimRecord).answer
        if answer is not None and answer.object_name:
            await self.objects.delete(answer.object_name)


def _is_expired(row: Row, store_time: float) -> bool:
    try:
        record = decode(row.content, ClaimRecord)
    except WireError:
        return False
    return store_time > record.until + CLAIM_RETENTION_SECONDS
