"""Calls at nodes that have lost the store, the fleet or both."""

import trio
from builders import RunningFleet, running_fleet
from hypothesis import given
from hypothesis import strategies as st

from boragetrestle_kernel.ids import DomainName, Version
from boragetrestle_kernel.timeline import EventKind
from boragetrestle_node.freshness import Freshness
from boragetrestle_node.freshness_exchange import StoreView
from boragetrestle_standin.fleet import Answer, FleetHost
from boragetrestle_standin.host_plan import HostPlan

_PLANS = [HostPlan('walks', domain=domain) for domain in 'aaabbbccc']
_DOMAIN = DomainName('z')
_PATH = '/walks/items/1'
_OPEN = '/walks/open'
_FRESH_SECONDS = 4
_DOUBLE_FAULT_SECONDS = 6


def _cut(run: RunningFleet, hosts: list[FleetHost]) -> None:
    """Cut hosts off from the others and from the store, not from callers."""
    inside = [host.ip for host in hosts]
    outside = [host.ip for host in run.fleet.hosts if host not in hosts]
    run.network.faults.partition(inside, outside)
    for ip in inside:
        run.host_stores[ip].is_down = True


async def _answers(run: RunningFleet, path: str = _PATH) -> list[Answer]:
    return [
        await run.fleet.call(host, path, key=run.key)
        for host in run.fleet.hosts
    ]


async def test_isolated_node_refuses_keyed_calls_as_not_run(autojump_clock):
    async with running_fleet(_PLANS) as run:
        isolated = run.fleet.hosts[0]
        _cut(run, [isolated])
        await trio.sleep(_FRESH_SECONDS)
        refused, *answers = await _answers(run)
        opened = await run.fleet.call(isolated, _OPEN)
        assert refused.code == 'node-isolated'
        assert refused.run_state == 'not-run'
        assert [answer.status for answer in answers] == [200 for _ in answers]
        assert opened.status == 200
        run.network.faults.heal()
        run.host_stores[isolated.ip].is_down = False
        await trio.sleep(3)
        assert (await _answers(run))[0].status == 200
        views = [
            event.reason
            for event in isolated.node.timeline.other_events
            if event.kind is EventKind.STORE_VIEW
        ]
    assert views == [StoreView.ISOLATED.value, StoreView.FRESH.value]


async def test_cut_domain_refuses_and_the_others_go_on(autojump_clock):
    async with running_fleet(_PLANS) as run:
        _cut(run, run.fleet.hosts[:3])
        await trio.sleep(_FRESH_SECONDS + 1)
        await run.operator.withdraw_key(run.key_id)
        given_key = await run.operator.give_key('acacia')
        await trio.sleep(2)
        answers = await _answers(run)
        assert {answer.code for answer in answers[:3]} == {'node-isolated'}
        assert {answer.status for answer in answers[3:]} == {401}
        fresh = await run.fleet.call(
            run.fleet.hosts[5],
            _PATH,
            key=given_key.key,
        )
        assert fresh.status == 200


async def test_fleet_goes_on_in_a_store_outage(autojump_clock):
    async with running_fleet(_PLANS) as run:
        run.store.is_down = True
        for _ in range(60):
            await trio.sleep(0.5)
            answers = await _answers(run)
            assert {answer.status for answer in answers} == {200}


async def test_withdrawn_key_stops_although_a_cut_follows_an_outage(
    autojump_clock,
):
    async with running_fleet(_PLANS) as run:
        isolated = run.fleet.hosts[0]
        run.store.is_down = True
        await trio.sleep(30)
        _cut(run, [isolated])
        run.store.is_down = False
        await trio.sleep(0.1)
        await run.operator.withdraw_key(run.key_id)
        await trio.sleep(_DOUBLE_FAULT_SECONDS)
        answers = await _answers(run)
    assert answers[0].code == 'node-isolated'
    assert {answer.status for answer in answers[1:]} == {401}


async def test_paused_node_refuses_until_it_has_heard_anew(autojump_clock):
    async with running_fleet(_PLANS) as run:
        paused = run.fleet.hosts[0]
        run.store.is_down = True
        await trio.sleep(10)
        run.network.faults.freeze(paused.ip)
        run.host_stores[paused.ip].is_down = True
        await trio.sleep(2)
        run.store.is_down = False
        await run.operator.withdraw_key(run.key_id)
        await trio.sleep(20)
        run.network.faults.thaw(paused.ip)
        answers = [
            await run.fleet.call(paused, _PATH, key=run.key) for _ in range(10)
        ]
        assert 200 not in {answer.status for answer in answers}
        run.host_stores[paused.ip].is_down = False
        await trio.sleep(3)
        answer = await run.fleet.call(paused, _PATH, key=run.key)
        assert answer.status == 401


def test_failed_read_counts_for_some_seconds_only():
    fresh = Freshness()
    fresh.note_lost(_DOMAIN, 10)
    fresh.note_lost(_DOMAIN, 8)
    assert fresh.lost_domains(now=16) == {_DOMAIN: 6}
    assert not fresh.lost_domains(now=16.1)


async def test_age_of_a_failed_read_grows_with_the_answer(autojump_clock):
    async with running_fleet(_PLANS[:2]) as run:
        near, far = (host.node.control for host in run.fleet.hosts)
        run.network.faults.delay_of = lambda _source, _destination: 0.2
        run.store.is_down = True
        await trio.sleep(4)
        failed_at = trio.current_time() - 2
        far.freshness.note_lost(_DOMAIN, failed_at)
        await near.exchange.ask(run.fleet.hosts[1].addresses.peers)
        assert near.freshness.lost[_DOMAIN] <= failed_at


_STEP = st.floats(0, 3, allow_nan=False)
_HOPS = st.lists(st.tuples(_STEP, _STEP, _STEP), min_size=1, max_size=5)


@given(_HOPS, st.floats(-1000, 1000), st.floats(0, 60))
def test_age_is_never_below_the_true_age(hops, store_ahead, waited):
    """Pass a read along nodes whose messages take any time."""
    true_now = 100.0
    reader = Freshness()
    reader.note_clock(true_now + store_ahead, at=true_now)
    reader.confirm(true_now + store_ahead, Version(1), in_force=Version(1))
    known = reader
    for asking, answering, telling in hops:
        asked_at = true_now
        true_now += asking
        bound = known.store_now(now=true_now)
        assert bound is not None
        true_now += answering
        node = Freshness()
        node.note_clock(bound, at=asked_at)
        true_now += telling
        node.confirm(known.store_time, Version(1), in_force=Version(1))
        known = node
    true_now += waited
    true_age = true_now - 100
    assert known.age(now=true_now) >= true_age - 1e-6


def test_read_counts_only_with_its_version_in_force():
    fresh = Freshness()
    assert not fresh.confirm(5, Version(3), in_force=Version(2))
    assert fresh.confirm(5, Version(3), in_force=Version(3))
    assert not fresh.confirm(4, Version(3), in_force=Version(3))
