"""Platform clients: timeout, retries, rate limit, circuit breaker, time."""

import random

import pytest
import trio

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_platform.circuit_breaker import (
    FAILURES_TO_OPEN,
    MAX_OPEN_SECONDS,
)
from boragetrestle_platform.guarded_platform import guard_platform
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_platform.store_budget import (
    FLEET_READS_PER_SECOND,
    FLEET_WRITES_PER_SECOND,
)
from boragetrestle_platform.table import Put, Transaction
from boragetrestle_standin.faults import StoreFaults
from boragetrestle_standin.faulty_objects import FaultyObjects
from boragetrestle_standin.faulty_table import FaultyTable

_WRITE = Transaction(writes=(Put('a', b'1'),))
_TIMEOUT = 2.0


class _Client:
    """A client under test of a table that injects faults."""

    def __init__(self, *, nodes=1, seed=1):
        self.faults = StoreFaults()
        self.table = MemoryTable()
        self.guarded = guard_platform(
            Platform(
                FaultyTable(self.table, self.faults),
                FaultyObjects(MemoryObjects(), self.faults),
            ),
            node_count=lambda: nodes,
            timeout=_TIMEOUT,
            rng=random.Random(seed),
        )


async def _fail_commits(client, times):
    client.faults.lost_answers = times
    for _ in range(times):
        with pytest.raises(OutcomeUnknownError):
            await client.guarded.table.commit(_WRITE)


async def test_read_is_repeated(autojump_clock):
    client = _Client()
    client.faults.lost_reads = 2
    found = await client.guarded.table.read(['a'])
    assert not found.rows
    assert client.table.reads == 1


async def test_write_is_not_repeated(autojump_clock):
    client = _Client()
    await _fail_commits(client, 1)
    assert client.table.commits == 1


async def test_slow_read_ends_by_one_timeout(autojump_clock):
    client = _Client()
    client.faults.delay = 60
    started_at = trio.current_time()
    with pytest.raises(StoreError):
        await client.guarded.table.read(['a'])
    assert trio.current_time() - started_at <= _TIMEOUT


async def test_repeats_of_a_read_share_one_timeout(autojump_clock):
    client = _Client()
    client.faults.delay = 0.9
    client.faults.lost_reads = 9
    started_at = trio.current_time()
    with pytest.raises(StoreError):
        await client.guarded.table.read(['a'])
    assert trio.current_time() - started_at <= _TIMEOUT


async def test_slow_write_has_an_unknown_outcome(autojump_clock):
    client = _Client()
    client.faults.delay = 60
    with pytest.raises(OutcomeUnknownError):
        await client.guarded.table.commit(_WRITE)


async def test_circuit_spares_a_failing_store(autojump_clock):
    client = _Client()
    await _fail_commits(client, FAILURES_TO_OPEN)
    before = client.table.commits
    for _ in range(20):
        with pytest.raises(StoreError) as caught:
            await client.guarded.table.commit(_WRITE)
        assert not isinstance(caught.value, OutcomeUnknownError)
    assert client.table.commits == before


async def test_circuit_lets_one_trial_through(autojump_clock):
    client = _Client()
    await _fail_commits(client, FAILURES_TO_OPEN)
    await trio.sleep(MAX_OPEN_SECONDS)
    before = client.table.commits
    client.faults.delay = 0.5
    outcomes = []

    async def commit():
        try:
            await client.guarded.table.commit(_WRITE)
            outcomes.append(True)
        except StoreError:
            outcomes.append(False)

    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(commit)
    assert sorted(outcomes) == [False, False, True]
    assert client.table.commits == before + 1
    assert await client.guarded.table.commit(_WRITE)


async def test_cancelled_trial_leaves_room_for_another(autojump_clock):
    client = _Client()
    await _fail_commits(client, FAILURES_TO_OPEN)
    await trio.sleep(MAX_OPEN_SECONDS)
    client.faults.delay = 1
    with trio.move_on_after(0.1):
        await client.guarded.table.commit(_WRITE)
    client.faults.delay = 0
    assert await client.guarded.table.commit(_WRITE)


async def test_clients_come_back_at_different_times(autojump_clock):
    opened = set()
    for seed in range(20):
        client = _Client(seed=seed)
        await _fail_commits(client, FAILURES_TO_OPEN)
        breaker = client.guarded.table.guard.breaker
        opened.add(round(breaker.next_trial_at - trio.current_time(), 3))
    assert len(opened) > 15


async def test_objects_have_a_circuit_of_their_own(autojump_clock):
    client = _Client()
    await _fail_commits(client, FAILURES_TO_OPEN)
    await client.guarded.objects.put('a', b'1')
    assert await client.guarded.objects.get('a') == b'1'


@pytest.mark.parametrize('nodes', [10, 2_200])
async def test_budget_bounds_the_whole_fleet(autojump_clock, nodes):
    client = _Client(nodes=nodes)
    client.faults.delay = 0.0001
    seconds = 60
    counts = {'reads': 0, 'commits': 0}

    async def repeat_operation(operate, name):
        while True:
            try:
                await operate()
                counts[name] += 1
            except StoreError:
                await trio.sleep(0.5)

    table = client.guarded.table

    async def read():
        await table.read(['a'])

    async def write():
        await table.commit(_WRITE)

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(repeat_operation, read, 'reads')
                nursery.start_soon(repeat_operation, write, 'commits')
    reads = FLEET_READS_PER_SECOND / nodes
    writes = FLEET_WRITES_PER_SECOND / nodes
    assert counts['reads'] <= reads * seconds + max(3, reads)
    assert counts['commits'] <= writes * seconds + max(3, writes)
    assert counts['commits'] >= writes * seconds * 0.9 - 1


async def test_store_time_is_known_within_its_exchange(autojump_clock):
    client = _Client()
    client.faults.delay = 0.5
    assert client.guarded.table.earliest_store_time() is None
    await client.guarded.table.read(['a'])
    now = client.table.now()
    least = client.guarded.table.earliest_store_time()
    most = client.guarded.table.latest_store_time()
    assert least is not None
    assert most is not None
    assert least <= now <= most
