"""Test that no key runs twice under seeded schedules of two faults each."""

import itertools
import random

import pytest
import trio
from builders import call_keyed, running_fleet, service, service_text

from boragetrestle_kernel.errors import DialError, HttpError
from boragetrestle_kernel.service_text import Route
from boragetrestle_standin.fleet import Answer
from boragetrestle_standin.host_addresses import host_ip
from boragetrestle_standin.host_plan import HostPlan

_PATH = '/walks/charges'
_KEYS = [f'k{number}' for number in range(6)]
_SEEDS = (1, 2)
_ROUTE = Route('POST', '/charges', deadline=2.0, idempotency_key='required')
_RECOVERY_SECONDS = 40


async def _store_down(run, rng):
    run.store.is_down = True
    await trio.sleep(rng.uniform(0.5, 6))
    run.store.is_down = False


async def _store_slow(run, rng):
    run.store.delay = rng.uniform(0.2, 3)
    await trio.sleep(rng.uniform(0.5, 4))
    run.store.delay = 0


async def _answers_lost(run, rng):
    run.store.lost_answers += rng.randrange(1, 5)
    run.store.lost_reads += rng.randrange(0, 12)
    await trio.sleep(rng.uniform(0, 1))


async def _target_cut(run, rng):
    host = rng.choice(run.fleet.hosts)
    host.target.faults.cut_after = 1
    await trio.sleep(rng.uniform(0.5, 3))
    host.target.faults.cut_after = None


async def _target_slow(run, rng):
    host = rng.choice(run.fleet.hosts)
    host.target.faults.delay = rng.uniform(1, 3)
    await trio.sleep(rng.uniform(0.5, 3))
    host.target.faults.delay = 0


async def _host_crash(run, rng):
    rng.choice(run.fleet.hosts).crash()
    await trio.sleep(1)


async def _host_frozen(run, rng):
    address = host_ip(rng.randrange(1, 4))
    run.network.faults.freeze(address)
    await trio.sleep(rng.uniform(0.5, 4))
    run.network.faults.thaw(address)


async def _hosts_parted(run, rng):
    isolated = rng.randrange(1, 4)
    others = [host_ip(place) for place in range(1, 4) if place != isolated]
    run.network.faults.partition([host_ip(isolated)], others)
    await trio.sleep(rng.uniform(0.5, 4))
    run.network.faults.heal()


_FAULTS = {
    'store-down': _store_down,
    'store-slow': _store_slow,
    'answers-lost': _answers_lost,
    'target-cut': _target_cut,
    'target-slow': _target_slow,
    'host-crash': _host_crash,
    'host-frozen': _host_frozen,
    'hosts-parted': _hosts_parted,
}
_PAIRS = list(itertools.combinations_with_replacement(_FAULTS, 2))


async def _call(run, rng, answers):
    key = rng.choice(_KEYS)
    try:
        with trio.move_on_after(5):
            answer = await call_keyed(
                run,
                key,
                place=rng.randrange(len(run.fleet.hosts)),
                path=f'{_PATH}?key={key}',
            )
            answers.append((key, answer))
    except (DialError, HttpError):
        return


async def _keep_calling(run, rng, answers, nursery):
    for _ in range(60):
        await trio.sleep(rng.expovariate(6))
        nursery.start_soon(_call, run, rng, answers)


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('pair', _PAIRS, ids='+'.join)
async def test_no_key_runs_twice(autojump_clock, pair, seed):
    rng = random.Random(f'{pair} {seed}')
    text = service_text(service('walks', routes=(_ROUTE,)))
    plans = [HostPlan('walks', domain=name, work=0.05) for name in 'abc']
    answers: list[tuple[str, Answer]] = []
    async with running_fleet(plans, text=text, seed=seed) as run:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_keep_calling, run, rng, answers, nursery)
            for name in rng.sample(pair, 2):
                nursery.start_soon(_FAULTS[name], run, rng)
                await trio.sleep(rng.uniform(0, 3))
        await trio.sleep(_RECOVERY_SECONDS)
        for key in _KEYS:
            await _call_until_answered(run, key, answers)
        _check_runs(run, answers)


async def _call_until_answered(run, key, answers):
    alive = [
        place
        for place, host in enumerate(run.fleet.hosts)
        if not host.cancel_scope.cancel_called
    ]
    path = f'{_PATH}?key={key}'
    answer = await call_keyed(run, key, place=alive[0], path=path)
    answers.append((key, answer))
    assert answer.code in {'', 'outcome-unknown'}


def _check_runs(run, answers):
    runs = {
        key: sum(
            host.target.calls[f'{_PATH}?key={key}'] for host in run.fleet.hosts
        )
        for key in _KEYS
    }
    assert max(runs.values()) <= 1
    for key, answer in answers:
        if answer.status == 200:
            assert runs[key] == 1
    sent = {
        call_id for (_, call_id), count in run.work.attempts.items() if count
    }
    for _, answer in answers:
        if answer.run_state == 'not-run':
            assert answer.call_id not in sent
