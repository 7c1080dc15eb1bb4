"""A store that comes back from an older copy and gives out versions again."""

import asyncio
from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest
from path_builders import LineLog, chance
from path_standins import MemoryStore
from tree_builders import member
from virtual_loop import run_virtual, virtual_now

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_platform.table import Check, Delete, Put, Transaction
from boragetrestle_sidecar.member_table import MemberRow, MemberTable
from boragetrestle_sidecar.registration import NODES_TABLE, Registration
from boragetrestle_sidecar.store_epochs import StoreEpochs
from boragetrestle_sidecar.table_watch import REJOIN_SECONDS, TableWatch

BACK_SECONDS = 2.0  # within which rows have to be back


class Follower:
    """A node that follows the table of nodes and maintains its own row."""

    def __init__(self, number: int, store: MemoryStore) -> None:
        self.own = member(number)
        self.log = LineLog(virtual_now)
        self.table = MemberTable()
        self.registration = Registration(self.own, store, self.log)
        self.watch = TableWatch(
            NODES_TABLE,
            store,
            self.log,
            on_change=self.apply,
            is_needed=lambda: True,
            chance=chance(number),
            clock=virtual_now,
        )
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.watch.run()),
            loop.create_task(self.registration.run()),
        ]

    def apply(self, watch: TableWatch) -> None:
        """Take over the table as the node of a fleet does."""
        assert watch.epoch is not None
        assert watch.position is not None
        self.registration.epoch = watch.epoch
        self.table.replace(
            watch.rows,
            epoch=watch.epoch,
            position=watch.position,
            keeps_missing=watch.is_rejoining,
        )
        self.registration.update_row(self.table.row_of(self.own.address))

    def stop(self) -> None:
        """End the node without removing its row."""
        for task in self.tasks:
            task.cancel()


async def start_followers(store: MemoryStore, count: int) -> list[Follower]:
    """Start nodes and wait until their rows are known."""
    nodes = [Follower(number, store) for number in range(count)]
    await asyncio.sleep(3)
    assert all(len(node.table.members) == count for node in nodes)
    return nodes


def test_rows_that_the_copy_lacks_are_back_within_two_seconds() -> None:
    """Nodes stay members meanwhile."""

    async def test() -> None:
        store = MemoryStore()
        nodes = await start_followers(store, 5)
        store.is_away = True
        await asyncio.sleep(1)
        store.restore(2)
        store.is_away = False
        before = len(store.tables[NODES_TABLE])
        assert before == 2
        await asyncio.sleep(BACK_SECONDS)
        assert len(store.tables[NODES_TABLE]) == 5
        assert all(len(node.table.members) == 5 for node in nodes)

    run_virtual(test())


def test_node_that_is_not_back_in_time_has_left() -> None:
    """Its row was in no copy, and it does not write it again."""

    async def test() -> None:
        store = MemoryStore()
        nodes = await start_followers(store, 5)
        nodes[4].stop()
        store.restore(0)
        await asyncio.sleep(BACK_SECONDS)
        assert len(nodes[0].table.members) == 5
        await asyncio.sleep(REJOIN_SECONDS * 2)
        left = nodes[4].own.address
        assert all(left not in node.table.members for node in nodes[:4])

    run_virtual(test())


def test_version_that_is_given_out_twice_is_not_taken_for_the_old() -> None:
    """The store's counter has gone back to before the write."""

    async def test() -> None:
        store = MemoryStore()
        seen: list[dict[str, bytes]] = []
        store.put('t', 'a', b'old')
        position = len(store.log)
        store.put('t', 'b', b'first')

        def keep(watch: TableWatch) -> None:
            seen.append({key: row.content for key, row in watch.rows.items()})

        watch = TableWatch(
            't',
            store,
            LineLog(virtual_now),
            on_change=keep,
            is_needed=lambda: True,
            chance=chance(),
            clock=virtual_now,
        )
        task = asyncio.get_running_loop().create_task(watch.run())
        await asyncio.sleep(1)
        store.restore(position)
        store.put('t', 'b', b'second')
        await asyncio.sleep(1)
        assert seen[-1] == {'a': b'old', 'b': b'second'}
        task.cancel()

    run_virtual(test())


def test_long_poll_that_is_open_across_a_drill_starts_anew() -> None:
    """Its position means something else in the new epoch."""

    async def test() -> None:
        store = MemoryStore()
        nodes = await start_followers(store, 3)
        for _ in range(3):
            await asyncio.sleep(0.7)
            store.restore(1)
        await asyncio.sleep(3)
        assert store.epoch == 4
        assert {node.watch.epoch for node in nodes} == {4}
        assert len(store.tables[NODES_TABLE]) == 3
        kinds = nodes[0].log.kinds()
        assert kinds.count('store-epoch-changed') >= 1

    run_virtual(test())


def test_rows_of_an_earlier_epoch_do_not_replace_newer_ones() -> None:
    """A peer that has not heard of the drill still passes on old rows."""
    own = member(1)
    other = member(2)
    table = MemberTable()
    table.merge([MemberRow(own.address, 0, 900, other.encode())])
    newer = MemberRow(own.address, 1, 5, own.encode())
    assert table.merge([newer]) == [newer]
    assert not table.merge([MemberRow(own.address, 0, 901, None)])
    assert table.row_of(own.address) == newer


def test_write_prepared_before_a_drill_does_not_apply_after_it() -> None:
    """The version that it names may have been given out again."""

    async def test() -> None:
        store = MemoryStore()
        (node,) = await start_followers(store, 1)
        node.stop()
        store.restore(0)
        # A successor at the same address gets the same version.
        store.put(NODES_TABLE, node.own.address, b'successor')
        row = node.registration.row
        assert row is not None
        found = store.tables[NODES_TABLE][node.own.address]
        assert found.version == row.version
        node.registration.epoch = store.epoch
        node.registration.row = row
        node.registration.write_needed.set()
        writer = asyncio.get_running_loop().create_task(node.registration.run())
        await asyncio.sleep(1)
        writer.cancel()
        found = store.tables[NODES_TABLE][node.own.address]
        assert found.content == b'successor'

    run_virtual(test())


@pytest.mark.parametrize('stated', [None, b'', b'-1', b'x', b'1 2'])
def test_answer_without_a_usable_epoch_is_not_believed(
    stated: bytes | None,
) -> None:
    """Nothing tells which copy it comes from."""
    epochs = StoreEpochs()
    epochs.check(b'7')
    with pytest.raises(StoreError):
        epochs.check(stated)
    assert epochs.newest == 7


def test_late_answer_of_an_earlier_epoch_has_an_unknown_outcome() -> None:
    """What it acknowledges may be gone."""
    epochs = StoreEpochs()
    epochs.check(b'8')
    with pytest.raises(OutcomeUnknownError):
        epochs.check(b'7')


def schedules() -> Iterator[int]:
    """Return the seeds of the drills that are played."""
    return iter(range(60))


@pytest.mark.parametrize('seed', schedules())
def test_table_is_right_after_any_series_of_drills(seed: int) -> None:
    """Drills, outages, lost answers, kills and starts overlap."""

    async def test() -> None:
        random = chance(seed)
        store = MemoryStore()
        nodes = [Follower(number, store) for number in range(6)]
        await asyncio.sleep(2)

        def kill_and_start() -> None:
            place = random.randrange(len(nodes))
            nodes[place].stop()
            nodes[place] = Follower(place, store)

        actions = (
            lambda: store.restore(random.randint(0, len(store.log))),
            lambda: setattr(store, 'is_away', not store.is_away),
            lambda: setattr(store, 'loses_answers', not store.loses_answers),
            store.forget_history,
            kill_and_start,
            partial(store.put, NODES_TABLE, 'garbage', b'\xff'),
            lambda: nodes[0].registration.check(),
        )
        for _ in range(25):
            random.choice(actions)()
            await asyncio.sleep(random.choice((0.0, 0.01, 0.3, 1.0)))
        store.is_away = False
        store.loses_answers = False
        store.first_kept = 0
        await asyncio.sleep(BACK_SECONDS)
        written = store.tables[NODES_TABLE]
        for node in nodes:
            assert written[node.own.address].content == node.own.encode()
        await asyncio.sleep(3 * REJOIN_SECONDS)
        wanted = {node.own.address for node in nodes}
        for node in nodes:
            assert set(node.table.members) == wanted

    run_virtual(test())


def test_stop_after_a_drill_removes_only_the_own_row() -> None:
    """The version of the row that it remembers is not used."""

    async def test() -> None:
        store = MemoryStore()
        (node,) = await start_followers(store, 1)
        node.stop()
        store.restore(0)
        store.put(NODES_TABLE, 'other', b'{}')
        node.registration.epoch = store.epoch
        await node.registration.remove()
        assert set(store.tables[NODES_TABLE]) == {'other'}

    run_virtual(test())


def test_store_accepts_a_delete_with_the_version_of_its_epoch() -> None:
    """The stand-in itself must give out versions again."""

    async def test() -> None:
        store: Any = MemoryStore()
        store.put('t', 'a', b'one')
        store.restore(0)
        store.put('t', 'a', b'two')
        transaction = Transaction(
            checks=(Check('a', 1),),
            writes=(Delete('a'), Put('b', b'three')),
        )
        committed = await store.commit('t', transaction)
        assert committed.is_committed

    run_virtual(test())
