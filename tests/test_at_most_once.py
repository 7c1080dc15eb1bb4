"""Test that calls with an idempotency key run at most once on real nodes."""

import pytest
import trio
from builders import (
    IDEMPOTENCY_KEY,
    call_keyed,
    running_fleet,
    service,
    service_text,
)

from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.http_fields import find_field
from boragetrestle_kernel.service_text import Route
from boragetrestle_node.claim_record import CLAIM_PREFIX
from boragetrestle_node.claim_sweeper import CLAIM_RETENTION_SECONDS
from boragetrestle_standin.host_plan import HostPlan

_PATH = '/walks/charges'
_PLANS = (HostPlan('walks'), HostPlan('walks', domain='b'))
_SLOW = (HostPlan('walks', work=1.0),)


def _runs(run, path=_PATH):
    return sum(host.target.calls[path] for host in run.fleet.hosts)


@pytest.mark.parametrize('size', [2, 100_000])
async def test_repeat_gets_kept_answer_at_another_node(autojump_clock, size):
    plans = [plan._replace(body=b'x' * size) for plan in _PLANS]
    async with running_fleet(plans) as run:
        first = await call_keyed(run, 'k1')
        await trio.sleep(1)
        repeat = await call_keyed(run, 'k1', place=1)
        runs = _runs(run)
    assert first.status == repeat.status == 200
    assert repeat.body == first.body == b'x' * size
    assert find_field(repeat.fields, b'boragetrestle-replayed') == b'true'
    assert repeat.call_id != first.call_id
    assert runs == 1


async def test_answer_too_large_to_keep_is_not_run_again(autojump_clock):
    plans = [HostPlan('walks', body=b'x' * 1_100_000)]
    async with running_fleet(plans) as run:
        first = await call_keyed(run, 'k1')
        await trio.sleep(1)
        repeat = await call_keyed(run, 'k1')
        runs = _runs(run)
    assert len(first.body) == 1_100_000
    assert repeat.code == 'outcome-unknown'
    assert runs == 1


async def test_repeat_of_running_call_is_refused(autojump_clock):
    async with running_fleet(_SLOW) as run:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_keyed, run, 'k1')
            await trio.sleep(0.5)
            repeat = await call_keyed(run, 'k1')
        runs = _runs(run)
    assert (repeat.status, repeat.code) == (409, 'call-running')
    assert runs == 1


async def test_key_with_another_body_is_refused(autojump_clock):
    async with running_fleet(_PLANS) as run:
        await call_keyed(run, 'k1', body=b'5 passes')
        await trio.sleep(1)
        repeat = await call_keyed(run, 'k1', body=b'6 passes')
        runs = _runs(run)
    assert (repeat.code, repeat.run_state) == (
        'idempotency-key-reused',
        'not-run',
    )
    assert runs == 1


async def test_missing_and_forbidden_keys_are_refused(autojump_clock):
    closed = Route('POST', '/closed', idempotency_key='forbidden')
    needed = Route('POST', '/charges', idempotency_key='required')
    text = service_text(service('walks', routes=(closed, needed)))
    async with running_fleet(_PLANS, text=text) as run:
        missing = await call_keyed(run, '')
        long = await call_keyed(run, 'k' * 256)
        forbidden = await call_keyed(run, 'k1', path='/walks/closed')
        runs = _runs(run) + _runs(run, '/walks/closed')
    assert missing.code == 'idempotency-key-required'
    assert long.code == forbidden.code == 'bad-request'
    assert runs == 0


async def test_store_outage_refuses_as_not_run(autojump_clock):
    async with running_fleet(_PLANS) as run:
        run.store.is_down = True
        refused = await call_keyed(run, 'k1')
        runs = _runs(run)
        run.store.is_down = False
        await trio.sleep(10)
        accepted = await call_keyed(run, 'k1')
    assert refused.code == 'store-unavailable'
    assert refused.run_state == 'not-run'
    assert int(find_field(refused.fields, b'retry-after')) >= 1
    assert runs == 0
    assert accepted.status == 200


async def test_claim_with_lost_answer_is_read_back(autojump_clock):
    async with running_fleet(_PLANS) as run:
        run.store.lost_answers = 1
        first = await call_keyed(run, 'k1')
        await trio.sleep(1)
        repeat = await call_keyed(run, 'k1')
        runs = _runs(run)
    assert first.status == repeat.status == 200
    assert runs == 1


async def test_outcome_with_lost_answers_is_recorded(autojump_clock):
    async with running_fleet(_SLOW) as run:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_keyed, run, 'k1')
            await trio.sleep(0.5)
            run.store.lost_answers = 3
        await trio.sleep(5)
        repeat = await call_keyed(run, 'k1')
        runs = _runs(run)
    assert repeat.status == 200
    assert runs == 1


async def test_doubtful_claim_is_released(autojump_clock):
    async with running_fleet(_PLANS[:1]) as run:
        run.store.lost_answers = 1
        run.store.lost_reads = 9
        refused = await call_keyed(run, 'k1')
        await trio.sleep(60)
        repeat = await call_keyed(run, 'k1')
        runs = _runs(run)
    assert (refused.code, refused.run_state) == ('store-unavailable', 'not-run')
    assert repeat.status == 200
    assert runs == 1


async def test_crashed_holder_leaves_unknown_outcome(autojump_clock):
    plans = (HostPlan('walks', work=3.0), HostPlan('walks', work=3.0))
    async with running_fleet(plans) as run:
        run.nursery.start_soon(_call_ignoring_errors, run)
        await trio.sleep(0.5)
        run.fleet.hosts[0].crash()
        soon = await call_keyed(run, 'k1', place=1)
        await trio.sleep(20)
        late = await call_keyed(run, 'k1', place=1)
        runs = _runs(run)
    assert soon.code == 'call-running'
    assert (late.code, late.run_state) == ('outcome-unknown', 'unknown')
    assert runs == 1


async def _call_ignoring_errors(run):
    try:
        await call_keyed(run, 'k1')
    except Exception:
        return


async def test_call_that_was_not_sent_may_run_later(autojump_clock):
    async with running_fleet(_PLANS[:1]) as run:
        host = run.fleet.hosts[0]
        await host.target.announce('draining')
        refused = await call_keyed(run, 'k1')
        await host.target.announce()
        repeat = await call_keyed(run, 'k1')
        runs = _runs(run)
    assert (refused.code, refused.run_state) == ('no-target', 'not-run')
    assert repeat.status == 200
    assert runs == 1


async def test_deadline_before_sending_says_not_run(autojump_clock):
    route = Route('POST', '/charges', deadline=1.0)
    text = service_text(service('walks', routes=(route,)))
    async with running_fleet(_PLANS[:1], text=text) as run:
        run.store.delay = 1.5
        refused = await call_keyed(run, 'k1')
        run.store.delay = 0
        await trio.sleep(20)
        runs = _runs(run)
        repeat = await call_keyed(run, 'k1')
    assert (refused.code, refused.run_state) == ('deadline-exceeded', 'not-run')
    assert runs == 0
    assert repeat.status == 200


async def test_deadline_after_sending_says_unknown(autojump_clock):
    route = Route('POST', '/charges', deadline=0.5)
    text = service_text(service('walks', routes=(route,)))
    async with running_fleet(_SLOW, text=text) as run:
        refused = await call_keyed(run, 'k1')
        await trio.sleep(1)
        repeat = await call_keyed(run, 'k1')
        runs = _runs(run)
    assert (refused.code, refused.run_state) == ('deadline-exceeded', 'unknown')
    assert repeat.code == 'outcome-unknown'
    assert runs == 1


async def test_answer_is_kept_for_caller_that_went_away(autojump_clock):
    async with running_fleet(_SLOW) as run:
        host = run.fleet.hosts[0]
        stream = await run.network.dial(host.calls_address)
        caller = HttpClientConnection(stream)
        fields = [
            (b'host', b'x'),
            (b'authorization', f'Bearer {run.key}'.encode()),
            (IDEMPOTENCY_KEY, b'k1'),
            (b'content-length', b'0'),
        ]
        await caller.send_head(b'POST', _PATH.encode(), fields)
        await caller.send_end()
        await trio.sleep(0.5)
        await caller.aclose()
        await trio.sleep(2)
        repeat = await call_keyed(run, 'k1')
        runs = _runs(run)
    assert repeat.status == 200
    assert runs == 1


async def test_call_without_key_is_sent_once(autojump_clock):
    async with running_fleet(_PLANS) as run:
        for host in run.fleet.hosts:
            host.target.faults.crash_path = '/walks/orders'
        refused = await run.fleet.call(
            run.fleet.hosts[0],
            '/walks/orders',
            key=run.key,
            method='POST',
        )
        runs = _runs(run, '/walks/orders')
    assert refused.run_state == 'unknown'
    assert runs == 1


async def test_expired_claims_are_swept(autojump_clock):
    async with running_fleet(
        [HostPlan('walks', body=b'x' * 20_000)],
    ) as run:
        await call_keyed(run, 'k1')
        await trio.sleep(1)
        run.table.now = lambda: trio.current_time() + CLAIM_RETENTION_SECONDS
        claims = [key for key in run.table.rows if key.startswith(CLAIM_PREFIX)]
        assert claims
        sweeper = run.fleet.hosts[0].node.repeats.sweeper
        assert await sweeper.sweep() == 0
        await trio.sleep(100)
        await sweeper.sweep()
        left = [key for key in run.table.rows if key.startswith(CLAIM_PREFIX)]
        objects = dict(run.objects.objects)
    assert not left
    assert not objects
