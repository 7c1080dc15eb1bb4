"""Tests that the costs of requests survive a restart of all nodes."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from path_builders import LineLog, chance
from path_standins import MemoryStore

from boragetrestle_kernel.errors import StoreError
from boragetrestle_sidecar import cost_archive
from boragetrestle_sidecar.admission.admission import Admission
from boragetrestle_sidecar.cost_archive import COSTS_TABLE, CostArchive
from boragetrestle_sidecar.counted_store import CountedStore
from boragetrestle_sidecar.node_status import RouteCost
from boragetrestle_sidecar.telemetry import Telemetry

LOOKUP = RouteCost('lookup', {'seat': 8.0}, 0.2, 100.0)
SHORT_SECONDS = 0.01
pytestmark = pytest.mark.loopback


class _Node:
    """The parts of a node that save and load costs."""

    def __init__(
        self,
        store: MemoryStore,
        *,
        writes: bool,
        reads: bool = True,
    ) -> None:
        self.log = LineLog()
        self.admission = Admission(chance(), self.log)
        self.archive = CostArchive(
            self.admission,
            store,
            self.log,
            writes=lambda: writes,
            reads=lambda: reads,
        )

    async def run(self, until: Callable[[], bool]) -> None:
        """Run the archive until a condition holds."""
        task = asyncio.create_task(self.archive.run())
        async with asyncio.timeout(2):
            while not until():
                await asyncio.sleep(SHORT_SECONDS)
        task.cancel()


def play(
    test: Callable[[MemoryStore], Coroutine[Any, Any, None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Run a test with short intervals between saves and loads."""
    monkeypatch.setattr(cost_archive, 'SAVE_INTERVAL_SECONDS', SHORT_SECONDS)
    monkeypatch.setattr(cost_archive, 'LOAD_RETRY_SECONDS', SHORT_SECONDS)
    asyncio.run(test(MemoryStore()))


async def save(store: MemoryStore) -> None:
    """Save one node's costs to the store."""
    node = _Node(store, writes=True)
    node.admission.call_graph.add_missing_costs([LOOKUP])
    await node.run(lambda: bool(store.tables.get(COSTS_TABLE)))


def test_new_process_starts_with_the_costs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All nodes may lose power at once."""

    async def test(store: MemoryStore) -> None:
        await save(store)
        fresh = _Node(store, writes=False)
        await fresh.run(lambda: bool(fresh.admission.call_graph.costs))
        assert fresh.admission.call_graph.costs['lookup'] == LOOKUP

    play(test, monkeypatch)


def test_store_that_is_away_is_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nodes may start while the store is unreachable."""

    async def test(store: MemoryStore) -> None:
        await save(store)
        store.is_away = True
        fresh = _Node(store, writes=False)
        asyncio.get_running_loop().call_later(
            0.1,
            lambda: setattr(store, 'is_away', False),
        )
        await fresh.run(lambda: bool(fresh.admission.call_graph.costs))
        assert 'costs-not-loaded' in fresh.log.kinds()

    play(test, monkeypatch)


# Guards against a fleet that plans with costs that no node has measured.
@pytest.mark.parametrize(
    'content',
    [
        b'not a list',
        b'[["a",{},-1.0,9]]',
        b'[["a",{},1e300,9]]',
        b'[["a",{},0.1,-9]]',
        b'[["a",{"b":-1.0},0.1,9]]',
    ],
)
def test_costs_that_cannot_be_read_are_passed_over(
    monkeypatch: pytest.MonkeyPatch,
    content: bytes,
) -> None:
    """The node measures its costs again instead."""

    async def test(store: MemoryStore) -> None:
        store.put(COSTS_TABLE, 'costs', content)
        fresh = _Node(store, writes=False)
        await fresh.run(lambda: 'costs-refused' in fresh.log.kinds())
        assert not fresh.admission.call_graph.costs

    play(test, monkeypatch)


def test_calls_to_the_store_are_counted_by_result(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An outage shows in the metrics."""

    async def test(store: MemoryStore) -> None:
        telemetry = Telemetry()
        counted = CountedStore(store, telemetry)
        await counted.view(COSTS_TABLE)
        store.is_away = True
        with pytest.raises(StoreError):
            await counted.view(COSTS_TABLE)
        text = telemetry.render()
        assert 'store_calls_total{call="view",result="ok"} 1' in text
        assert 'store_calls_total{call="view",result="StoreError"} 1' in text

    play(test, monkeypatch)


def test_only_one_node_saves(monkeypatch: pytest.MonkeyPatch) -> None:
    """Calls to the store cost money."""

    async def test(store: MemoryStore) -> None:
        node = _Node(store, writes=False, reads=False)
        node.admission.call_graph.add_missing_costs([LOOKUP])
        before = store.calls
        task = asyncio.create_task(node.archive.run())
        await asyncio.sleep(SHORT_SECONDS * 10)
        task.cancel()
        assert store.calls == before

    play(test, monkeypatch)


def test_costs_are_read_by_few_nodes(monkeypatch: pytest.MonkeyPatch) -> None:
    """The others get them with the total of the fleet."""

    async def test(store: MemoryStore) -> None:
        await save(store)
        node = _Node(store, writes=False, reads=False)
        before = store.calls
        task = asyncio.create_task(node.archive.run())
        await asyncio.sleep(SHORT_SECONDS * 10)
        task.cancel()
        assert store.calls == before

    play(test, monkeypatch)


def test_costs_are_read_although_some_are_measured_already(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node reads the store only once it knows that it follows it.

    By then the first runs have ended, most of them too early.
    """

    async def test(store: MemoryStore) -> None:
        await save(store)
        fresh = _Node(store, writes=False, reads=False)
        graph = fresh.admission.call_graph
        graph.costs['guide'] = RouteCost('guide', {}, 0.1, 9.0)
        graph.costs['lookup'] = RouteCost('lookup', {}, 0.01, 0.1)
        asyncio.get_running_loop().call_later(
            0.1,
            lambda: setattr(fresh.archive, 'reads', lambda: True),
        )
        await fresh.run(lambda: 'costs-loaded' in fresh.log.kinds())
        assert graph.costs['lookup'] == LOOKUP
        assert graph.costs['guide'].run_seconds == 0.1

    play(test, monkeypatch)
