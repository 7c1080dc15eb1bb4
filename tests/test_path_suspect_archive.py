"""Requests that crash targets stay known when all nodes are killed."""

import asyncio
import json

import pytest
from entry_builders import EntryHarness, request_bytes
from hypothesis import given
from hypothesis import strategies as st
from path_builders import LineLog, route
from path_standins import Host, MemoryStore
from virtual_loop import run_virtual

from boragetrestle_platform.table import Row
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind, Reason
from boragetrestle_sidecar.suspect_archive import (
    MAX_PENDING,
    SUSPECTS_TABLE,
    SuspectArchive,
)
from boragetrestle_sidecar.suspects import (
    BLOCK_SECONDS,
    CRASHES_TO_BLOCK,
    MAX_COUNTED_CRASHES,
)

KILLER = 'fingerprint-1'
NOW_SECONDS = 1_800_000_000.0


class ArchivedNode:
    """The crashes that one process knows, with their archive running."""

    def __init__(
        self,
        store: MemoryStore,
        *,
        is_first_start: bool = False,
        now: float = NOW_SECONDS,
    ) -> None:
        self.log = LineLog()
        self.node = Host(1, store, self.log).node
        self.suspects = self.node.suspects
        self.now = now
        self.archive = SuspectArchive(
            self.node.tree,
            store,
            self.log,
            is_first_start=is_first_start,
            reads=lambda: True,
            wall_clock=lambda: self.now,
        )
        self.task = asyncio.create_task(self.archive.run())

    async def crash(self, found: str, times: int = CRASHES_TO_BLOCK) -> None:
        """Let a request crash targets."""
        for _ in range(times):
            self.suspects.record_crash(found, is_own=True)
        await asyncio.sleep(0.1)

    async def follow(self, store: MemoryStore, now: float) -> 'ArchivedNode':
        """Kill the process and return the one that follows."""
        self.task.cancel()
        following = ArchivedNode(store, now=now)
        await asyncio.sleep(0.1)
        return following


def saved(store: MemoryStore) -> dict[str, list[int]]:
    """Return the crashes that the store has, by request."""
    rows = store.tables.get(SUSPECTS_TABLE, {})
    return {
        key: json.loads(row.content)['crashes'] for key, row in rows.items()
    }


# Guards against requests that crash targets again after a kill of all nodes.
def test_blocked_request_stays_blocked_over_a_kill_of_all_nodes() -> None:
    """As long as it would have been; the next process tells the others."""

    async def test() -> None:
        store = MemoryStore()
        first = ArchivedNode(store, is_first_start=True)
        await first.crash(KILLER, CRASHES_TO_BLOCK - 1)
        assert not store.calls
        await first.crash(KILLER, 1)
        again = await first.follow(store, NOW_SECONDS + BLOCK_SECONDS / 2)
        assert again.suspects.is_blocked(KILLER)
        assert again.node.tree.crashes_of(KILLER) == saved(store)[KILLER]
        late = await again.follow(store, NOW_SECONDS + BLOCK_SECONDS + 1)
        assert not late.suspects.crashes

    run_virtual(test())


# Guards against a block that a step of the wall clock ends or keeps for ever.
@pytest.mark.parametrize(
    ('step', 'is_blocked'), [(-8.0, True), (8.0, True), (-86_400.0, False)]
)
def test_step_of_the_wall_clock_over_a_kill_moves_the_block_little(
    step: float,
    *,
    is_blocked: bool,
) -> None:
    """Steps of seconds are usual; a day is a clock that was wrong before."""

    async def test() -> None:
        store = MemoryStore()
        first = ArchivedNode(store, is_first_start=True)
        await first.crash(KILLER)
        again = await first.follow(store, NOW_SECONDS + step)
        assert again.suspects.is_blocked(KILLER) == is_blocked

    run_virtual(test())


def test_node_that_knows_the_crashes_does_not_count_them_again() -> None:
    """Neighbours have told it before it reads the store."""

    async def test() -> None:
        store = MemoryStore()
        node = ArchivedNode(store)
        await asyncio.sleep(0.1)
        await node.crash(KILLER)
        node.archive._apply(tuple(store.tables[SUSPECTS_TABLE].values()))
        assert len(node.suspects.crashes[KILLER]) == CRASHES_TO_BLOCK

    run_virtual(test())


def test_rows_end_with_the_block_or_an_answer() -> None:
    """Nothing else removes them."""

    async def test() -> None:
        store = MemoryStore()
        node = ArchivedNode(store, is_first_start=True)
        await node.crash('old')
        node.now += BLOCK_SECONDS + 1
        await node.crash(KILLER)
        assert set(saved(store)) == {KILLER}
        node.suspects.clear(KILLER, is_own=True)
        await asyncio.sleep(0.1)
        assert not saved(store)
        assert not node.archive.changed

    run_virtual(test())


def test_crashes_are_saved_once_the_store_is_back() -> None:
    """Without end they would fill the memory."""

    async def test() -> None:
        store = MemoryStore()
        node = ArchivedNode(store, is_first_start=True)
        store.is_away = True
        for number in range(MAX_PENDING + 9):
            node.suspects.record_crash(f'f-{number}', is_own=True)
        await node.crash(KILLER)
        assert not saved(store)
        store.is_away = False
        await asyncio.sleep(2)
        assert KILLER in saved(store)
        assert len(node.archive.changed) <= MAX_PENDING

    run_virtual(test())


def test_row_has_as_many_crashes_as_count() -> None:
    """A request may crash targets for days."""

    async def test() -> None:
        store = MemoryStore()
        node = ArchivedNode(store, is_first_start=True)
        await node.crash(KILLER, 3 * MAX_COUNTED_CRASHES)
        assert len(saved(store)[KILLER]) == MAX_COUNTED_CRASHES

    run_virtual(test())


@given(content=st.binary(max_size=60))
def test_rows_of_another_writer_are_refused(content: bytes) -> None:
    """The others hold."""

    async def test() -> None:
        store = MemoryStore()
        store.put(SUSPECTS_TABLE, 'odd', content)
        store.put(
            SUSPECTS_TABLE,
            KILLER,
            json.dumps({
                'crashes': [1, 2, 3],
                'crashed_at': int(NOW_SECONDS) * 1000,
            }).encode(),
        )
        node = ArchivedNode(store)
        await asyncio.sleep(0.1)
        assert set(node.suspects.crashes) == {KILLER}
        assert node.archive._decode(Row('odd', b'{}', 1)) is None

    run_virtual(test())


# Guards against a blocked request that is sent on to a further target.
@pytest.mark.parametrize('crashes', [0, CRASHES_TO_BLOCK])
def test_request_that_is_blocked_meanwhile_is_not_sent_again(
    crashes: int,
) -> None:
    """It was admitted before its third crash was known."""
    bench = EntryHarness(route())
    connection, _transport = bench.connect()
    connection.data_received(request_bytes('a'))
    (run,) = bench.sent_for('a')
    (request,) = bench.entry.requests
    for _ in range(crashes):
        bench.suspects.record_crash(request.fingerprint, is_own=False)
    run.reply(Outcome(OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST))
    assert (len(bench.sent_for('a')) == 1) == (crashes > 0)
