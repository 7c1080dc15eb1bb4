"""Few nodes read the store for all: what if just those no longer can."""

import asyncio
import random
from enum import Enum

import pytest
from path_standins import MemoryStore
from tree_builders import STEP_SECONDS, ModelFleet, ModelNode
from virtual_loop import run_virtual, virtual_now

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_platform.table import Committed, Transaction
from boragetrestle_sidecar.store_client import TableChanges, TableView
from boragetrestle_sidecar.table_watch import TableWatch

TABLE = 'operators'
KEY = 'configuration'
# What a change may take while the store turns nodes away: the bound of the
# smallest site and the stretch that it allows then.
STRETCHED_SECONDS = 7.0
ANSWER_SECONDS = 2.0


class Refusal(Enum):
    """How the store turns a node away."""

    RESET = 'reset'
    SILENCE = 'silence'


class TurningStore:
    """The store as one node sees it."""

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self.refusal: Refusal | None = None
        self.calls = 0

    async def view(self, table: str, *, part: str = '') -> TableView:
        """Return a snapshot of one part of a table."""
        await self._refuse(0)
        return await self.store.view(table, part=part)

    async def changes(
        self,
        table: str,
        position: int,
        *,
        wait: float,
    ) -> TableChanges:
        """Return changes; nothing arrives once the node is turned away."""
        await self._refuse(wait)
        began = virtual_now()
        changes = await self.store.changes(table, position, wait=wait)
        await self._refuse(wait - (virtual_now() - began))
        return changes

    async def commit(
        self, table: str, transaction: Transaction, *, part: str = ''
    ) -> Committed:
        """Apply a transaction."""
        await self._refuse(0)
        return await self.store.commit(table, transaction, part=part)

    async def _refuse(self, wait: float) -> None:
        self.calls += 1
        if self.refusal is Refusal.RESET:
            raise StoreError('reset', remedy='wait')
        if self.refusal is Refusal.SILENCE:
            await asyncio.sleep(max(0.0, wait) + ANSWER_SECONDS)
            raise OutcomeUnknownError('silent', remedy='wait')


class FollowedFleet:
    """Nodes on a virtual clock, some of which follow the operators' table."""

    def __init__(self, count: int, *, domains: int, seed: int) -> None:
        self.store = MemoryStore()
        self.store.put(TABLE, KEY, b'1')
        self.model = ModelFleet(count, domains=domains)
        self.model.clock.now = virtual_now()
        self.model.chance.seed(seed)
        self.model.read_table()
        self.stores: dict[str, TurningStore] = {}
        self.tasks = [
            asyncio.create_task(self._watch(node).run())
            for node in self.model.running
        ]
        self.tasks.append(asyncio.create_task(self._report()))

    @property
    def followers(self) -> list[ModelNode]:
        """The nodes that read the store for the others."""
        return [node for node in self.model.running if node.links.is_follower]

    def turn_away(self, nodes: list[ModelNode], refusal: Refusal) -> None:
        """Let the store turn some nodes away from now on."""
        for node in nodes:
            self.stores[node.own.address].refusal = refusal

    def all_have(self, version: int) -> bool:
        """Whether a version is in force at each node."""
        return all(
            node.keeper.version == version for node in self.model.running
        )

    async def seconds_until(self, version: int, *, longest: float) -> float:
        """Return how long a version took to be in force at each node."""
        began = virtual_now()
        while not self.all_have(version):
            assert virtual_now() - began < longest
            await asyncio.sleep(0.05)
        return virtual_now() - began

    def _watch(self, node: ModelNode) -> TableWatch:
        own = TurningStore(self.store)
        self.stores[node.own.address] = own

        def apply(watch: TableWatch) -> None:
            row = watch.rows.get(KEY)
            if row is not None:
                node.keeper.apply_if_newer(row.content, source='store')

        return TableWatch(
            TABLE,
            own,
            self.model.log,
            on_change=apply,
            is_needed=node.following.needs_changes,
            chance=random.Random(self.model.chance.random()),
            poll_delay=0.6,
            on_confirmed=node.following.record_age,
            clock=virtual_now,
        )

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(STEP_SECONDS)
            self.model.clock.now = virtual_now()
            for node in self.model.running:
                node.step(1.0)


@pytest.mark.parametrize('refusal', list(Refusal))
@pytest.mark.parametrize(
    ('count', 'seed'),
    [
        *((15, seed) for seed in range(8)),
        *((83, seed) for seed in range(4)),
        *((194, seed) for seed in range(2)),
    ],
)
def test_change_is_in_force_although_all_followers_are_turned_away(
    refusal: Refusal,
    seed: int,
    count: int,
) -> None:
    """The others rely on them and have to find out."""

    async def test() -> None:
        fleet = FollowedFleet(count, domains=3, seed=seed)
        await fleet.seconds_until(1, longest=STRETCHED_SECONDS)
        await asyncio.sleep(8 + seed)
        fleet.turn_away(fleet.followers, refusal)
        for version in (2, 3):
            fleet.store.put(TABLE, KEY, b'%d' % version)
            await fleet.seconds_until(version, longest=STRETCHED_SECONDS)
        for task in fleet.tasks:
            task.cancel()

    run_virtual(test())


def test_followers_and_not_all_nodes_read_the_store() -> None:
    """Calls to it cost money."""

    async def test() -> None:
        fleet = FollowedFleet(83, domains=3, seed=1)
        await fleet.seconds_until(1, longest=STRETCHED_SECONDS)
        await asyncio.sleep(10)
        before = {name: each.calls for name, each in fleet.stores.items()}
        await asyncio.sleep(60)
        reading = {
            name
            for name, each in fleet.stores.items()
            if each.calls > before[name]
        }
        assert len(fleet.followers) == 6
        assert reading == {node.own.address for node in fleet.followers}
        for task in fleet.tasks:
            task.cancel()

    run_virtual(test())
