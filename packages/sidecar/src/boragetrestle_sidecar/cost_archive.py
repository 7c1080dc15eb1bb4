"""Save the costs of requests in the store, for a fleet that restarts.

All nodes may lose power while demand is several times the capacity. Without
known costs the restarted nodes would admit every request, and hardly any run
would complete from which they could measure costs.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.json_decoding import decode_json
from boragetrestle_platform.table import Put, Transaction
from boragetrestle_sidecar.known_fields import convert_known
from boragetrestle_sidecar.node_status import RouteCost

if TYPE_CHECKING:
    from boragetrestle_sidecar.admission.admission import Admission
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.store_client import StoreClient

COSTS_TABLE = 'costs'
COSTS_KEY = 'costs'
# Calls to the store cost money, and the saved costs change slowly.
SAVE_INTERVAL_SECONDS = 10.0
LOAD_RETRY_SECONDS = 1.0  # between attempts to load the costs
# How often a node that has just started looks whether it is one of those that
# load, and for how long; later the costs come from other nodes.
ROLE_CHECK_SECONDS = 0.1
MAX_ROLE_WAIT_SECONDS = 5.0


def decode_costs(content: bytes) -> list[RouteCost]:
    """Decode the row of costs, also one of a newer build.

    Raises ``msgspec.DecodeError`` for another content.
    """
    return convert_known(decode_json(content, list[Any]), list[RouteCost])


def encode_costs(costs: list[RouteCost]) -> bytes:
    """Return the content of the row of costs."""
    return msgspec.json.encode(costs)


class CostArchive:
    """Load the costs at the start and save them at intervals.

    ``reads`` returns whether this node loads the costs, which it passes on to
    others, and ``writes`` whether it is the one that saves them.
    """

    def __init__(
        self,
        admission: 'Admission',
        store: 'StoreClient',
        log: 'DecisionLog',
        *,
        writes: Callable[[], bool],
        reads: Callable[[], bool],
    ) -> None:
        self.admission = admission
        self.store = store
        self.log = log
        self.writes = writes
        self.reads = reads

    async def run(self) -> None:
        """Load the costs once, then save them until cancelled."""
        waited = 0.0
        while not self.reads() and waited < MAX_ROLE_WAIT_SECONDS:
            await asyncio.sleep(ROLE_CHECK_SECONDS)
            waited += ROLE_CHECK_SECONDS
        while self.reads() and not await self._load():
            await asyncio.sleep(LOAD_RETRY_SECONDS)
        while True:
            await asyncio.sleep(SAVE_INTERVAL_SECONDS)
            if self.writes() and self.admission.call_graph.costs:
                await self._save()

    async def _load(self) -> bool:
        """Load the costs, if any are stored; return false if that failed."""
        try:
            view = await self.store.view(COSTS_TABLE)
        except StoreError as error:
            self.log.write_limited('costs-not-loaded', error=str(error))
            return False
        for row in view.rows:
            self._apply_stored_costs(row.content)
        return True

    def _apply_stored_costs(self, content: bytes) -> None:
        try:
            costs = decode_costs(content)
        except msgspec.DecodeError as error:
            self.log.write_unlimited('costs-refused', error=str(error))
            return
        self.admission.call_graph.add_missing_costs(costs)
        self.log.write_unlimited('costs-loaded', routes=len(costs))

    async def _save(self) -> None:
        costs = list(self.admission.call_graph.costs.values())
        write = Put(COSTS_KEY, encode_costs(costs))
        transaction = Transaction(checks=(), writes=(write,))
        try:
            await self.store.commit(COSTS_TABLE, transaction)
        except StoreError as error:
            self.log.write_limited('costs-not-saved', error=str(error))
