"""Check rates over a fleet of real nodes, under single and paired faults."""

import random

import pytest
import trio
from builders import organisation, running_fleet, service_text

from boragetrestle_bench.rate_run import RateRun, overshoot
from boragetrestle_kernel.ids import OrgId
from boragetrestle_node.escrow import Escrow
from boragetrestle_node.gate import MAX_TOKEN_WAIT_SECONDS
from boragetrestle_node.policies import Policies
from boragetrestle_node.rate_policy import rate_policy
from boragetrestle_node.share_messages import ShareAsk
from boragetrestle_node.share_terms import ShareTerms
from boragetrestle_standin.host_addresses import host_ip
from boragetrestle_standin.host_plan import HostPlan

_ACACIA = organisation(rate=20, burst=20)
_NAME = OrgId('acacia')
_PLANS = [HostPlan('walks', domain=name) for name in 'aabbcc']
_ROUNDING = 1e-6
_RELEASE_SECONDS = 50
_SHORT_TERMS = ShareTerms(tenure=75, renewal=10)
_SHORT_POLICIES = Policies(rates='escrow-short')


@rate_policy('escrow-short')
def _escrow_short(parts):
    return Escrow(parts, _SHORT_TERMS)


async def _call(run, place, admitted):
    entry = run.fleet.hosts[place].node.entry
    policy = entry.rates.policy
    wait = policy.take(_NAME)
    if wait is not None:
        wait = await policy.wait_for_token(
            _NAME, timeout=MAX_TOKEN_WAIT_SECONDS
        )
    if wait is None:
        admitted.append(trio.current_time())
    return wait is None


async def _flood(run, rng, admitted, *, seconds, rate=40):
    """Make several times the calls that are allowed, at random nodes."""
    async with trio.open_nursery() as nursery:
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await trio.sleep(rng.expovariate(rate))
            place = rng.randrange(len(run.fleet.hosts))
            if not run.fleet.hosts[place].cancel_scope.cancel_called:
                nursery.start_soon(_call, run, place, admitted)


async def _store_down(run, rng):
    run.store.is_down = True
    await trio.sleep(rng.uniform(2, 6))
    run.store.is_down = False


async def _store_slow(run, rng):
    run.store.delay = rng.uniform(0.2, 1.8)
    await trio.sleep(rng.uniform(2, 6))
    run.store.delay = 0


async def _answers_lost(run, rng):
    run.store.lost_answers += 20
    run.store.lost_reads += rng.randrange(10)
    await trio.sleep(1)


async def _host_crash(run, rng):
    rng.choice(run.fleet.hosts).crash()
    await trio.sleep(1)


async def _host_stop(run, rng):
    host = rng.choice(run.fleet.hosts)
    if not host.cancel_scope.cancel_called:
        await host.node.give_back()
        host.crash()


async def _host_frozen(run, rng):
    address = host_ip(rng.randrange(1, 7))
    run.network.faults.freeze(address)
    await trio.sleep(rng.uniform(1, 20))
    run.network.faults.thaw(address)


async def _hosts_parted(run, rng):
    apart = [host_ip(place) for place in rng.sample(range(1, 7), 3)]
    others = [host_ip(place) for place in range(1, 7)]
    run.network.faults.partition(apart, set(others) - set(apart))
    await trio.sleep(rng.uniform(1, 20))
    run.network.faults.heal()


async def _asks_doubled(run, rng):
    for host in run.fleet.hosts:
        _wrap_ask_handler(host, rng, doubled=0.3, lost=0)
    await trio.sleep(1)


async def _grants_lost(run, rng):
    for host in run.fleet.hosts:
        _wrap_ask_handler(host, rng, doubled=0, lost=0.3)
    await trio.sleep(1)


def _wrap_ask_handler(host, rng, *, doubled, lost):
    """Handle some messages twice, and lose some of the answers."""
    receive = host.node.links.handlers[ShareAsk]

    async def handle(node, ask):
        grant = await receive(node, ask)
        if rng.random() < doubled:
            await receive(node, ask)
        if rng.random() < lost:
            await trio.sleep(1)
        return grant

    host.node.links.handlers[ShareAsk] = handle


_FAULTS = {
    'store-down': _store_down,
    'store-slow': _store_slow,
    'answers-lost': _answers_lost,
    'host-crash': _host_crash,
    'host-stop': _host_stop,
    'host-frozen': _host_frozen,
    'hosts-parted': _hosts_parted,
    'asks-doubled': _asks_doubled,
    'grants-lost': _grants_lost,
}
_NAMES = list(_FAULTS)
_PAIRS = [
    (name, other)
    for place, name in enumerate(_NAMES)
    for other in (_NAMES[place - 1], _NAMES[place - 3])
]


@pytest.mark.parametrize('pair', _PAIRS, ids='+'.join)
async def test_flood_never_gets_over_the_rate(autojump_clock, pair):
    rng = random.Random(f'{pair}')
    text = service_text(organisations=[_ACACIA])
    admitted: list[float] = []
    async with running_fleet(
        _PLANS,
        text=text,
        policies=_SHORT_POLICIES,
    ) as run:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_inject_faults, run, rng, pair)
            await _flood(run, rng, admitted, seconds=8)
        await trio.sleep(rng.uniform(30, 90))
        await _flood(run, rng, admitted, seconds=3)
    assert overshoot(sorted(admitted), _ACACIA) < _ROUNDING
    assert len(admitted) > _ACACIA.burst


async def _inject_faults(run, rng, pair):
    for name in pair:
        await trio.sleep(rng.uniform(0, 4))
        await _FAULTS[name](run, rng)


_DEMANDS = {
    'even': lambda _at, rng: rng.randrange(16),
    'skewed': lambda _at, rng: 0 if rng.random() < 0.9 else rng.randrange(16),
    'moving': lambda at, _rng: int(at // 3) % 16,
}


@pytest.mark.parametrize('demand', _DEMANDS)
def test_demand_within_the_rate_is_not_refused(demand):
    run = RateRun(
        organisation(rate=100, burst=100),
        nodes=16,
        policies=Policies(),
        seed=3,
    )
    outcome = run.run(_DEMANDS[demand], load=0.9, seconds=10)
    assert outcome.refused_share <= 0.001
    assert overshoot(outcome.admitted, run.organisation) < _ROUNDING


async def test_long_outage_of_the_store_costs_nothing(autojump_clock):
    text = service_text(organisations=[_ACACIA])
    async with running_fleet(
        _PLANS,
        text=text,
        policies=_SHORT_POLICIES,
    ) as run:
        await trio.sleep(30)
        run.store.is_down = True
        outcomes = []
        for place in range(60):
            await trio.sleep(1)
            outcomes.append(await _call(run, place % 6, []))
        run.store.is_down = False
    assert all(outcomes)


def test_terms_outlast_an_outage_of_an_hour():
    terms = ShareTerms()
    left = (terms.tenure - terms.renewal) * 0.99
    assert left - terms.lease > 3_600


async def test_lapsed_shares_admit_nothing_in_an_outage(autojump_clock):
    text = service_text(organisations=[_ACACIA])
    async with running_fleet(
        _PLANS[:2],
        text=text,
        policies=_SHORT_POLICIES,
    ) as run:
        await _call(run, 0, [])
        run.store.is_down = True
        await trio.sleep(_SHORT_TERMS.tenure + _SHORT_TERMS.lease)
        assert not await _call(run, 0, [])
        run.store.is_down = False
        await trio.sleep(40)
        assert await _call(run, 0, [])


def _find_holder(run):
    for host in run.fleet.hosts:
        policy = host.node.entry.rates.policy
        assert isinstance(policy, Escrow)
        if policy.holder.held:
            return host
    raise AssertionError('no node holds a share')


async def test_full_rate_is_back_after_a_crash(autojump_clock):
    text = service_text(organisations=[_ACACIA])
    rng = random.Random(1)
    async with running_fleet(
        _PLANS,
        text=text,
        policies=_SHORT_POLICIES,
    ) as run:
        holder = _find_holder(run)
        holder.crash()
        await trio.sleep(_SHORT_TERMS.tenure + 35)
        admitted: list[float] = []
        await _flood(run, rng, admitted, seconds=10)
    assert len(admitted) > 0.9 * (10 * _ACACIA.rate + _ACACIA.burst)


async def test_graceful_stop_hands_shares_over(autojump_clock):
    text = service_text(organisations=[_ACACIA])
    rng = random.Random(1)
    async with running_fleet(_PLANS, text=text) as run:
        holder = _find_holder(run)
        await _flood(run, rng, [], seconds=5)
        await holder.node.give_back()
        await holder.node.membership.leave()
        holder.crash()
        await trio.sleep(_RELEASE_SECONDS)
        admitted: list[float] = []
        await _flood(run, rng, admitted, seconds=10)
    assert len(admitted) > 0.9 * (10 * _ACACIA.rate + _ACACIA.burst)


async def test_lower_rate_counts_at_once_on_every_node(autojump_clock):
    text = service_text(organisations=[_ACACIA])
    lower = organisation(rate=5, burst=5)
    rng = random.Random(1)
    async with running_fleet(_PLANS, text=text) as run:
        before: list[float] = []
        await _flood(run, rng, before, seconds=5)
        await run.operator.apply(service_text(organisations=[lower]))
        await trio.sleep(4)
        after: list[float] = []
        await _flood(run, rng, after, seconds=10)
    assert overshoot(sorted(before), _ACACIA) < _ROUNDING
    assert overshoot(sorted(after), lower) < _ROUNDING
