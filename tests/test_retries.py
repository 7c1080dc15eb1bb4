"""Retries under one budget for the whole chain of a call."""

import random

import builders
import pytest
import trio
from builders import READ, WRITE, running_fleet, service, service_text

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.http_fields import find_field
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RunState
from boragetrestle_node.chain_budget import ChainBudget
from boragetrestle_node.identity import CALL_ATTEMPTS
from boragetrestle_node.node import DEFAULT_POLICIES
from boragetrestle_node.retry_after import spread_retry
from boragetrestle_node.retry_bucket import MAX_RETRIES
from boragetrestle_node.retry_policy import Failure
from boragetrestle_standin.host_plan import HostPlan, OnwardCall

_DEPTH = 14
_CALLS = 3
_LOCAL = DEFAULT_POLICIES._replace(retries='local')
_ROUTES = (READ, WRITE)


def _chain_text(depth):
    services = [
        service(f'step-{step}', f'step-{step + 1}', routes=(READ,))
        for step in range(1, depth)
    ]
    return service_text(*services, service(f'step-{depth}', routes=(READ,)))


def _chain_plans(depth):
    plans = []
    for step in range(1, depth):
        onward = (OnwardCall('GET', f'/step-{step + 1}/items/1'),)
        plans.extend([HostPlan(f'step-{step}', onward=onward)] * 2)
    return [*plans, *[HostPlan(f'step-{depth}')] * 4]


async def _attempts_at_deepest(depth, policies):
    """Return the calls at the last service, which sheds all of them."""
    plans = _chain_plans(depth)
    text = _chain_text(depth)
    async with running_fleet(plans, text=text, policies=policies) as run:
        deepest = run.fleet.of_service(f'step-{depth}')
        for host in deepest:
            host.target.faults.is_shedding = True
        for _ in range(_CALLS):
            await run.fleet.call(
                run.fleet.hosts[0],
                '/step-1/items/1',
                key=run.key,
            )
        return sum(host.target.calls.total() for host in deepest)


async def test_long_chain_keeps_within_its_budget(autojump_clock):
    attempts = await _attempts_at_deepest(_DEPTH, DEFAULT_POLICIES)
    assert _CALLS < attempts <= CALL_ATTEMPTS * _CALLS


async def test_local_retries_multiply_as_baseline(autojump_clock):
    attempts = await _attempts_at_deepest(3, _LOCAL)
    assert attempts > CALL_ATTEMPTS * _CALLS


async def test_idempotent_call_leaves_a_dying_target(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 2) as run:
        dying, other = run.fleet.hosts
        dying.target.faults.crash_path = '/walks'
        answers = [
            await run.fleet.call(other, '/walks/items/1', key=run.key)
            for _ in range(4)
        ]
    assert [answer.status for answer in answers] == [200] * 4
    assert dying.target.calls.total() == 1


async def test_write_runs_once_where_its_target_dies(autojump_clock):
    plans = [HostPlan('walks')] * 3
    async with running_fleet(plans) as run:
        for host in run.fleet.hosts:
            host.target.faults.crash_path = '/walks/orders'
        answer = await run.fleet.call(
            run.fleet.hosts[0],
            '/walks/orders',
            method='POST',
            key=run.key,
            body=b'x' * 100,
        )
        runs = sum(host.target.calls.total() for host in run.fleet.hosts)
    assert (answer.code, answer.run_state) == ('target-failed', 'unknown')
    assert runs == 1


async def test_write_shed_unrun_is_sent_again_with_its_body(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 2) as run:
        shedding, other = run.fleet.hosts
        shedding.target.faults.is_shedding = True
        shedding.target.extra_fields = [(b'boragetrestle-run', b'not-run')]
        answers = [
            await run.fleet.call(
                other,
                '/walks/orders',
                method='POST',
                key=run.key,
                body=b'x' * 1000,
            )
            for _ in range(5)
        ]
    assert [answer.status for answer in answers] == [200] * 5
    assert shedding.target.calls.total() > 0


async def test_large_body_is_sent_once(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 2) as run:
        for host in run.fleet.hosts:
            host.target.faults.is_shedding = True
            host.target.extra_fields = [(b'boragetrestle-run', b'not-run')]
        answer = await run.fleet.call(
            run.fleet.hosts[0],
            '/walks/orders',
            method='POST',
            key=run.key,
            body=b'x' * 200_000,
        )
        runs = sum(host.target.calls.total() for host in run.fleet.hosts)
    assert answer.code == 'overloaded'
    assert runs == 1


async def test_dead_targets_give_not_run(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 2) as run:
        for host in run.fleet.hosts:
            host.target.cancel_scope.cancel()
        await trio.sleep(1)
        answer = await run.fleet.call(
            run.fleet.hosts[0],
            '/walks/items/1',
            key=run.key,
        )
    assert (answer.code, answer.run_state) == ('no-target', 'not-run')
    assert find_field(answer.fields, b'retry-after')


async def test_unreachable_host_costs_a_bounded_wait(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 2) as run:
        dead, other = run.fleet.hosts
        run.network.faults.freeze(dead.target.address.host)
        started_at = trio.current_time()
        answers = [
            await run.fleet.call(other, '/walks/items/1', key=run.key)
            for _ in range(20)
        ]
        lasted = trio.current_time() - started_at
    assert [answer.status for answer in answers] == [200] * 20
    assert lasted < 4


@pytest.mark.parametrize('seed', range(4))
async def test_refusal_after_a_lost_attempt_is_unknown(autojump_clock, seed):
    async with running_fleet([HostPlan('walks')] * 2, seed=seed) as run:
        dying, dead = run.fleet.hosts
        dying.target.faults.crash_path = '/walks'
        dead.target.cancel_scope.cancel()
        answer = await run.fleet.call(dead, '/walks/items/1', key=run.key)
    assert answer.code in {'target-failed', 'no-target'}
    assert answer.run_state == 'unknown'


def _failure(**changes):
    values = {'was_sent': True, 'may_have_run': False, 'tries': 1}
    return Failure(**(values | changes))


@pytest.fixture
async def call():
    await trio.lowlevel.checkpoint()
    return builders.call()


@pytest.fixture
def budget():
    state = FleetState()
    state.replace_text(
        service_text(
            service('walks', 'gate', routes=_ROUTES),
            service('gate', routes=_ROUTES),
        ),
    )
    return ChainBudget(state, random.Random(1))


async def test_attempts_handed_down_are_spent(autojump_clock, budget, call):
    call.service = 'walks'
    assert budget.next_delay(call, _failure(may_have_run=True)) is None
    call.service = 'gate'
    assert budget.next_delay(call, _failure(may_have_run=True)) is not None


async def test_bucket_bounds_retries_of_a_service(
    autojump_clock,
    budget,
    call,
):
    call.attempts_left = 1000
    delays = [budget.next_delay(call, _failure()) for _ in range(50)]
    retried = sum(delay is not None for delay in delays)
    assert retried == MAX_RETRIES
    for _ in range(20):
        budget.enter(call)
    assert budget.next_delay(call, _failure()) is not None


async def test_retry_that_ends_past_the_deadline_is_not_made(
    autojump_clock,
    budget,
    call,
):
    call.deadline = trio.current_time()
    assert budget.next_delay(call, _failure()) is None


def test_retry_after_spreads_callers():
    refusal = Refusal(RefusalCode.OVERLOADED, retry_after=2)
    rng = random.Random(3)
    waits = [spread_retry(refusal, rng).retry_after or 0 for _ in range(200)]
    seconds = {round(wait) for wait in waits}
    assert min(waits) >= 2
    assert len(seconds) >= 3


def test_refusal_that_is_final_gets_no_retry_after():
    refusal = Refusal(RefusalCode.TARGET_FAILED, RunState.UNKNOWN)
    assert spread_retry(refusal, random.Random(3)) == refusal
