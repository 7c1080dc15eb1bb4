"""Keep what requests cost in the store, for nodes that start anew.

The load this answers: all nodes lose power while demand is several times what
fits. Without costs the new processes would admit all, and hardly any run would
get through for them to learn from.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from boragetrestle_kernel.errors import StoreError
from boragetrestle_platform.table import Put, Transaction
from boragetrestle_sidecar.node_status import RouteCost

if TYPE_CHECKING:
    from boragetrestle_sidecar.admission import Admission
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.store_client import StoreClient

COSTS_TABLE = 'costs'
COSTS_KEY = 'costs'
SAVE_SECONDS = 10.0  # calls to the store are priced; costs change slowly
PAUSE_SECONDS = 1.0  # before the store is asked again


class CostArchive:
    """Load the costs at the start, and save them while this node writes.

    ``writes`` tells whether this node is the one that saves for the fleet.
    """

    def __init__(
        self,
        admission: 'Admission',
        store: 'StoreClient',
        log: 'DecisionLog',
        *,
        writes: Callable[[], bool],
    ) -> None:
        self.admission = admission
        self.store = store
        self.log = log
        self.writes = writes

    async def run(self) -> None:
        """Load once, then save for ever."""
        while not await self._load():
            await asyncio.sleep(PAUSE_SECONDS)
        while True:
            await asyncio.sleep(SAVE_SECONDS)
            if self.writes() and self.admission.graph.costs:
                await self._save()

    async def _load(self) -> bool:
        """Load unless the costs are known by now; return whether it is done."""
        if self.admission.graph.costs:
            return True
        try:
            view = await self.store.view(COSTS_TABLE)
        except StoreError as error:
            self.log.line('costs-not-loaded', error=str(error))
            return False
        for row in view.rows:
            self._use(row.content)
        return True

    def _use(self, content: bytes) -> None:
        try:
            costs = msgspec.json.decode(content, type=list[RouteCost])
        except msgspec.DecodeError as error:
            self.log.always('costs-refused', error=str(error))
            return
        self.admission.graph.assume(costs)
        self.log.always('costs-loaded', routes=len(costs))

    async def _save(self) -> None:
        costs = list(self.admission.graph.costs.values())
        write = Put(COSTS_KEY, msgspec.json.encode(costs))
        transaction = Transaction(checks=(), writes=(write,))
        try:
            await self.store.commit(COSTS_TABLE, transaction)
        except StoreError as error:
            self.log.line('costs-not-saved', error=str(error))
