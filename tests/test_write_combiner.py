"""Test that small writes are combined into transactions."""

import pytest
import trio

from boragetrestle_kernel.errors import OutcomeUnknownError
from boragetrestle_node.claim_record import ClaimState
from boragetrestle_node.claim_table import ClaimTable, next_claim
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.table import ABSENT, Check, Put, Transaction
from boragetrestle_platform.write_combiner import WriteCombiner
from boragetrestle_standin.faults import StoreFaults
from boragetrestle_standin.faulty_table import FaultyTable


def _insert(key, content=b'x'):
    return Transaction(
        checks=(Check(key, ABSENT),),
        writes=(Put(key, content),),
    )


async def _submit_all(combiner, transactions):
    results = {}

    async def submit(place, transaction):
        try:
            committed = await combiner.submit(transaction)
            results[place] = committed.is_committed
        except OutcomeUnknownError:
            results[place] = None

    async with trio.open_nursery() as nursery:
        await nursery.start(combiner.run)
        async with trio.open_nursery() as callers:
            for place, transaction in enumerate(transactions):
                callers.start_soon(submit, place, transaction)
        nursery.cancel_scope.cancel()
    return [results[place] for place in range(len(transactions))]


async def test_writes_of_a_window_share_one_transaction(autojump_clock):
    table = MemoryTable()
    writes = [_insert(f'row-{number}') for number in range(20)]
    assert all(await _submit_all(WriteCombiner(table), writes))
    assert table.commits == 1
    assert len(table.rows) == 20


async def test_failed_member_leaves_the_others_committed(autojump_clock):
    table = MemoryTable()
    table.commit_now(_insert('taken'))
    writes = [_insert('a'), _insert('taken'), _insert('b')]
    results = await _submit_all(WriteCombiner(table), writes)
    assert results == [True, False, True]


async def test_same_row_has_one_winner_in_a_window(autojump_clock):
    table = MemoryTable()
    writes = [_insert('row', bytes([number])) for number in range(5)]
    results = await _submit_all(WriteCombiner(table), writes)
    assert sorted(results) == [False] * 4 + [True]
    assert table.rows['row'].content == bytes([results.index(True)])


@pytest.mark.parametrize('lost_reads', [0, 1])
async def test_lost_answer_is_settled_by_reading(autojump_clock, lost_reads):
    faults = StoreFaults(lost_answers=1, lost_reads=lost_reads)
    table = FaultyTable(MemoryTable(), faults)
    results = await _submit_all(WriteCombiner(table), [_insert('a')])
    assert results == [True]


async def test_write_that_may_still_arrive_stays_unknown(autojump_clock):
    class LateTable(MemoryTable):
        async def commit(self, transaction):
            await trio.lowlevel.checkpoint()
            raise OutcomeUnknownError('the commit is still on its way')

    results = await _submit_all(WriteCombiner(LateTable()), [_insert('a')])
    assert results == [None]


async def test_cancelled_write_is_not_committed(autojump_clock):
    table = MemoryTable()
    combiner = WriteCombiner(table, window=1)
    async with trio.open_nursery() as nursery:
        await nursery.start(combiner.run)
        with trio.move_on_after(0.5):
            await combiner.submit(_insert('a'))
        await trio.sleep(5)
        nursery.cancel_scope.cancel()
    assert not table.rows


async def test_late_duplicate_of_release_frees_no_later_claim(autojump_clock):
    table = MemoryTable()
    sent: list[Transaction] = []

    class RecordingTable(FaultyTable):
        async def commit(self, transaction):
            sent.append(transaction)
            return await super().commit(transaction)

    recording = RecordingTable(table, StoreFaults())
    combiner = WriteCombiner(recording)
    claims = ClaimTable(recording, combiner, trio.current_time)
    async with trio.open_nursery() as nursery:
        await nursery.start(combiner.run)
        first = await claims.build_claim(
            'claim/k', fingerprint='f', remaining=1
        )
        assert await claims.write_if_unchanged(first)
        released = next_claim(first, ClaimState.RELEASED)
        assert await claims.write_if_unchanged(released)
        release_sent = sent[-1]
        other = await claims.build_claim(
            'claim/k', fingerprint='f', remaining=1
        )
        renewed = other.__class__('claim/k', released.version + 1, other.record)
        assert await claims.write_if_unchanged(renewed)
        assert not table.commit_now(release_sent).is_committed
        nursery.cancel_scope.cancel()
    found = await claims.read_claim('claim/k')
    assert found is not None
    assert found.claim.record == other.record
