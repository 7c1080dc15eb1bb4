"""Shares of a rate: their holders, their leases and their rows."""

import random

import pytest
import trio
from builders import organisation

from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.ids import NodeId
from boragetrestle_node.held_share import HeldShare
from boragetrestle_node.local_tokens import LocalTokens
from boragetrestle_node.share_lease import ShareLease
from boragetrestle_node.share_messages import ShareAsk, ShareGrant
from boragetrestle_node.share_table import ShareId, ShareTable
from boragetrestle_node.share_terms import ShareTerms
from boragetrestle_node.token_share import TokenShare
from boragetrestle_platform.guarded_platform import guard_platform
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_platform.write_combiner import WriteCombiner
from boragetrestle_standin.faults import StoreFaults
from boragetrestle_standin.faulty_table import FaultyTable

_ACACIA = organisation(rate=10, burst=10)
_SLOW = organisation(rate=0.01, burst=10)
_TERMS = ShareTerms()
_KEY = ShareId('acacia', 0)
_SHARE_BURST = _TERMS.fraction * _ACACIA.burst


def _held(*, tokens=_SHARE_BURST, valid_until=1_000.0):
    free = TokenShare(
        rate=_TERMS.fraction,
        burst=_TERMS.fraction,
        tokens=tokens,
        now=0,
    )
    return HeldShare(
        terms=_TERMS,
        free=free,
        valid_until=valid_until,
        version=1,
    )


def _ask(number, **changes):
    return ShareAsk('acacia', 0, 'session', number, '10.0.0.1:1', **changes)


def _ask_for_tokens(number, tokens=1.0, **changes):
    burst = tokens / _ACACIA.burst
    return _ask(
        number,
        wanted_tokens=tokens,
        wanted_burst=burst,
        urgent=tokens,
        **changes,
    )


def test_paused_holder_finds_its_tenure_lapsed():
    held = _held(valid_until=50)
    assert held.answer(_ask_for_tokens(1), 49, _ACACIA).tokens == 1
    assert held.answer(_ask_for_tokens(2), 50, _ACACIA) == ShareGrant()


def test_no_lease_outlasts_the_tenure():
    held = _held(valid_until=50)
    grant = held.answer(_ask_for_tokens(1), 45, _ACACIA)
    assert grant.validity == 5


def test_paused_node_finds_its_lease_lapsed():
    lease = ShareLease(TokenShare(rate=0, burst=0, tokens=0, now=0))
    grant = ShareGrant(burst=1, tokens=5, validity=10)
    lease.add(grant, 1, _ACACIA, asked_at=0)
    local = LocalTokens(0)
    local.leases[0] = lease
    assert local.take(9.8, _ACACIA)
    assert not local.take(9.95, _ACACIA)


def test_doubled_message_is_answered_once():
    held = _held()
    assert held.answer(_ask_for_tokens(1), 0, _ACACIA) is not None
    assert held.answer(_ask_for_tokens(1), 0, _ACACIA) is None
    assert held.free.tokens == _SHARE_BURST - 1


def test_lost_grant_makes_no_tokens():
    held = _held()
    held.answer(_ask_for_tokens(1), 0, _ACACIA)
    held.answer(_ask_for_tokens(2), 0, _ACACIA)
    assert held.free.tokens + held.leases['session'].burst <= _SHARE_BURST
    held.refresh(_TERMS.longest_lease + 0.1, _ACACIA)
    assert held.free.burst == pytest.approx(_TERMS.fraction)
    assert held.free.tokens <= _SHARE_BURST


def test_room_of_a_lease_is_not_used_twice():
    held = _held()
    held.answer(_ask_for_tokens(1, tokens=1.5), 0, _ACACIA)
    held.refresh(10, _ACACIA)
    leased = held.leases['session'].burst * _ACACIA.burst
    assert leased >= 1
    assert held.free.tokens + leased <= _SHARE_BURST + 1e-9


def test_tokens_returned_after_the_lapse_are_void():
    held = _held()
    held.answer(_ask_for_tokens(1), 0, _SLOW)
    held.free.tokens = 0
    late = _ask_for_tokens(2, returned=1)
    grant = held.answer(late, _TERMS.longest_lease + 0.01, _SLOW)
    assert grant.is_fresh
    assert grant.tokens + held.free.tokens < 0.1


def test_grant_is_debited_before_it_is_credited():
    held = _held(tokens=1)
    asked = _ask_for_tokens(1, tokens=0.5, wanted_rate=0.05)
    grant = held.answer(asked, 0, _ACACIA)
    assert grant.tokens == 0.5
    assert held.free.tokens == 0.5
    assert grant.rate > 0
    assert grant.rate == pytest.approx(_TERMS.fraction - held.free.rate)
    assert grant.burst == pytest.approx(_TERMS.fraction - held.free.burst)


def test_lapsed_lease_gets_no_grant_that_adds_to_it():
    held = _held()
    assert held.answer(_ask_for_tokens(1), 0, _ACACIA).is_fresh
    assert not held.answer(_ask_for_tokens(2), 1, _ACACIA).is_fresh
    assert held.answer(_ask_for_tokens(3), 40, _ACACIA).is_fresh


def test_raised_rate_does_not_count_for_the_past():
    share = TokenShare(rate=1, burst=1, tokens=0, now=0)
    share.refill(0, organisation(rate=1, burst=100))
    share.refill(10, organisation(rate=10, burst=100))
    assert share.tokens == 10


class _Store:
    """Connect several processes to one table, with faults."""

    def __init__(self):
        self.faults = StoreFaults()
        self.table = MemoryTable()

    async def connect(self, nursery, node, session):
        store = guard_platform(
            Platform(FaultyTable(self.table, self.faults), MemoryObjects()),
            node_count=lambda: 1,
            timeout=2,
            rng=random.Random(1),
        )
        combiner = WriteCombiner(store.table)
        await nursery.start(combiner.run)
        return ShareTable(
            store.table,
            combiner,
            terms=_TERMS,
            node=NodeId(node),
            address=f'{node}:1',
            session=session,
        )


async def test_share_has_one_holder_until_its_tenure_ends(autojump_clock):
    store = _Store()
    async with trio.open_nursery() as nursery:
        one = await store.connect(nursery, 'one', 's1')
        two = await store.connect(nursery, 'two', 's2')
        first = (await one.take({_KEY: _SLOW}))[_KEY].held
        second = (await two.take({_KEY: _SLOW}))[_KEY]
        assert first.free.tokens == _SHARE_BURST
        assert (second.held, second.holder) == (None, 'one:1')
        await trio.sleep_until(first.valid_until)
        assert (await two.take({_KEY: _SLOW}))[_KEY].held is None
        await trio.sleep(_TERMS.tenure * 0.02)
        third = (await two.take({_KEY: _SLOW}))[_KEY].held
        assert third.valid_until > first.valid_until
        assert third.free.tokens < 1
        assert not await one.renew(_KEY, first)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('lost_reads', [0, 12])
async def test_lost_answers_leave_one_holder(autojump_clock, lost_reads):
    store = _Store()
    async with trio.open_nursery() as nursery:
        one = await store.connect(nursery, 'one', 's1')
        two = await store.connect(nursery, 'two', 's2')
        store.faults.lost_answers = 1
        nursery.start_soon(_lose_reads, store.faults, lost_reads)
        mine = (await one.take({_KEY: _ACACIA})).get(_KEY)
        store.faults.lost_reads = 0
        other = (await two.take({_KEY: _ACACIA}))[_KEY]
        nursery.cancel_scope.cancel()
    assert other.held is None
    assert (mine is None) == bool(lost_reads)


async def _lose_reads(faults, count):
    await trio.sleep(0.001)
    faults.lost_reads = count


async def test_new_process_of_a_node_waits_for_old_leases(autojump_clock):
    store = _Store()
    async with trio.open_nursery() as nursery:
        old = await store.connect(nursery, 'one', 's1')
        await old.take({_KEY: _ACACIA})
        await trio.sleep(100)
        new = await store.connect(nursery, 'one', 's2')
        held = (await new.take({_KEY: _ACACIA}))[_KEY].held
        now = trio.current_time()
        assert (
            held.answer(_ask_for_tokens(1), now + 15, _ACACIA) == ShareGrant()
        )
        later = now + _TERMS.longest_lease + 1
        assert held.answer(_ask_for_tokens(2), later, _ACACIA).tokens == 1
        nursery.cancel_scope.cancel()


async def test_share_handed_back_is_free_once_leases_lapsed(autojump_clock):
    store = _Store()
    async with trio.open_nursery() as nursery:
        one = await store.connect(nursery, 'one', 's1')
        two = await store.connect(nursery, 'two', 's2')
        held = (await one.take({_KEY: _ACACIA}))[_KEY].held
        held.answer(_ask_for_tokens(1), trio.current_time(), _ACACIA)
        lapses_at = held.leases['session'].lapses_at
        await one.release([(_KEY, held)])
        await trio.sleep_until(lapses_at)
        assert (await two.take({_KEY: _ACACIA}))[_KEY].held is None
        await trio.sleep(1)
        assert (await two.take({_KEY: _ACACIA}))[_KEY].held is not None
        nursery.cancel_scope.cancel()


async def test_store_outage_takes_no_share(autojump_clock):
    store = _Store()
    store.faults.is_down = True
    async with trio.open_nursery() as nursery:
        one = await store.connect(nursery, 'one', 's1')
        with pytest.raises(StoreError):
            await one.take({_KEY: _ACACIA})
        nursery.cancel_scope.cancel()
