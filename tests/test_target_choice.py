"""Choice of a target by domain, load and latency."""

import random
from collections import Counter

import builders
import pytest
import trio
from builders import lone_ejector, running_fleet, target_record

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_node.near_choice import NearTwoRandom
from boragetrestle_node.target_book import TargetBook
from boragetrestle_node.target_choice import ChoiceInputs
from boragetrestle_node.target_subset import (
    FAR_TARGETS,
    NEAR_TARGETS,
    TargetSubsets,
)
from boragetrestle_node.target_view import RAMP_SECONDS
from boragetrestle_standin.host_plan import HostPlan

_PATH = '/walks/items/1'
_CHOICES = 400
_WALKS = ServiceName('walks')


@pytest.fixture
def book():
    return TargetBook()


@pytest.fixture
def choice(book):
    inputs = ChoiceInputs(
        book=book,
        ejector=lone_ejector(book),
        subsets=TargetSubsets('node-1', 'a'),
        rng=random.Random(5),
    )
    return NearTwoRandom(inputs)


def _count(choice, targets, call):
    chosen = (choice.choose(call, targets, ()) for _ in range(_CHOICES))
    return Counter(record.target for record in chosen)


def _warm(book, targets, latency=0.01):
    for record in targets:
        book.warm.add(record.target)
        view = book.view(record.target)
        view.add_latency(latency, now=trio.current_time())
        view.updated_at = trio.current_time()


async def test_own_domain_comes_first(autojump_clock, book, choice):
    targets = [
        *[target_record(number, domain='a') for number in range(3)],
        *[target_record(number, domain='b') for number in range(3, 9)],
    ]
    _warm(book, targets)
    chosen = _count(choice, targets, builders.call())
    assert set(chosen) == {record.target for record in targets[:3]}


async def test_load_spills_to_another_domain(autojump_clock, book, choice):
    near = [target_record(number, domain='a') for number in range(2)]
    far = [target_record(number, domain='b') for number in range(2, 4)]
    _warm(book, far)
    _warm(book, near, latency=0.05)
    chosen = _count(choice, [*near, *far], builders.call())
    assert set(chosen) == {record.target for record in far}


async def test_two_choices_avoid_the_slow_target(
    autojump_clock,
    book,
    choice,
):
    targets = [target_record(number) for number in range(4)]
    _warm(book, targets)
    book.view(targets[0].target).add_latency(1, now=trio.current_time())
    chosen = _count(choice, targets, builders.call())
    assert chosen[targets[0].target] == 0


async def test_slow_target_is_tried_again(autojump_clock, book, choice):
    targets = [target_record(number) for number in range(4)]
    _warm(book, targets)
    book.view(targets[0].target).add_latency(1, now=trio.current_time())
    await trio.sleep(40)
    chosen = _count(choice, targets, builders.call())
    assert chosen[targets[0].target] > 0


async def test_cold_target_gets_its_load_slowly(autojump_clock, book, choice):
    targets = [target_record(number) for number in range(3)]
    _warm(book, targets[:2])
    shares = []
    for _ in range(2):
        shares.append(_loaded_share(choice, book, targets))
        await trio.sleep(RAMP_SECONDS)
    cold, ramped = shares
    assert cold < 0.1
    assert ramped > 0.25


def _loaded_share(choice, book, targets):
    """Return the last target's share of 30 calls that run together."""
    call = builders.call()
    _warm(book, targets[:2])
    chosen = []
    for _ in range(30):
        record = choice.choose(call, targets, ())
        book.start(record.target)
        chosen.append(record.target)
    for target in chosen:
        book.end(target)
    return chosen.count(targets[-1].target) / len(chosen)


def test_subset_is_bounded_and_stable():
    targets = [
        target_record(number, domain='ab'[number % 2]) for number in range(200)
    ]
    subsets = TargetSubsets('node-1', 'a')
    whole = subsets.of(_WALKS, targets)
    gone = whole.near[3]
    left = [record for record in targets if record is not gone]
    changed = subsets.of(_WALKS, left)
    assert len(whole.near) == NEAR_TARGETS
    assert len(whole.far) == FAR_TARGETS
    assert len(set(whole.near) & set(changed.near)) == NEAR_TARGETS - 1
    assert whole.far == changed.far


def test_subsets_of_many_nodes_cover_targets_evenly():
    targets = [target_record(number) for number in range(50)]
    callers = Counter(
        record.target
        for node in range(500)
        for record in TargetSubsets(f'node-{node}', 'a')
        .of(_WALKS, targets)
        .near
    )
    assert len(callers) == 50
    assert max(callers.values()) < 1.4 * min(callers.values())


async def test_connections_are_open_before_calls_need_them(autojump_clock):
    plans = [HostPlan('walks', work=0.2, domain=name) for name in 'ab']
    async with running_fleet(plans) as run:
        caller, other = run.fleet.hosts
        address = caller.target.address
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(_call, run, caller)
        await trio.sleep(1)
        idle = caller.node.pool.count_idle(address)
    assert 8 <= idle <= 12
    assert other.target.calls.total() == 0


async def test_warmed_connections_keep_to_the_declared_number(autojump_clock):
    plans = [HostPlan('walks', work=0.2, connections=4)] * 2
    async with running_fleet(plans) as run:
        caller = run.fleet.hosts[0]
        book = caller.node.outbound.book
        for record in caller.node.directory.ready(_WALKS):
            book.view(record.target).peak_in_flight = 40
            book.view(record.target).updated_at = trio.current_time()
        await trio.sleep(2)
        idle = [
            caller.node.pool.count_idle(host.target.address)
            for host in run.fleet.hosts
        ]
    assert idle == [2, 2]


async def _call(run, host):
    await run.fleet.call(host, _PATH, key=run.key)
