"""Test a target's guard: fair queue, classes, deadlines, hang-ups."""

from collections import Counter, defaultdict
from functools import partial
from typing import Any

import pytest
import trio
from builders import (
    READ,
    organisation,
    running_fleet,
    service,
    service_text,
)
from guard_builders import slot_guard

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.ids import CallId, KeyId, OrgId, ServiceName
from boragetrestle_kernel.refusal import RefusalCode, RefusedError, RunState
from boragetrestle_kernel.timeline import EventKind
from boragetrestle_node.attempt import Attempt, Forwarded
from boragetrestle_node.call import Call
from boragetrestle_node.limit_policy import CallEnd, LimitSample
from boragetrestle_node.policies import Policies
from boragetrestle_node.service_times import ServiceTimes
from boragetrestle_standin.host_plan import HostPlan

_TEXT = service_text(
    service('walks', routes=(READ,)),
    service('gate', routes=(READ,)),
)
_PATH = '/walks/items/7'
_FAIR = 'class-fair'


def _call(name='acacia', *, call_class=CallClass.INTERACTIVE, seconds=10.0):
    return Call(
        call_id=CallId('c'),
        organisation=OrgId(name),
        key_id=KeyId('k'),
        service=ServiceName('walks'),
        route=READ,
        call_class=call_class,
        deadline=trio.current_time() + seconds,
        attempts_left=3,
    )


class _Flood:
    """Offer calls to a guard at a steady rate and count the results."""

    def __init__(self, guard, *, work=0.1):
        self.guard = guard
        self.work = work
        self.served: Counter[Any] = Counter()
        self.refused: Counter[Any] = Counter()
        self.waits: defaultdict[Any, float] = defaultdict(float)
        self.latest = 0.0

    async def offer(self, kind, rate, *, seconds=10, **arguments):
        """Offer calls for some seconds and count them under ``kind``."""
        async with trio.open_nursery() as nursery:
            for _ in range(int(rate * seconds)):
                nursery.start_soon(self._run, kind, _call(**arguments))
                await trio.sleep(1 / rate)

    async def _run(self, kind, call):
        started_at = trio.current_time()
        try:
            async with self.guard.hold(call) as slot:
                waited = trio.current_time() - started_at
                self.waits[kind] = max(self.waits[kind], waited)
                await trio.sleep(self.work)
                slot.forwarded = Forwarded(Attempt.ANSWERED, status=200)
        except RefusedError as error:
            self.refused[kind] += 1
            assert error.refusal.run_state is RunState.NOT_RUN
            self.latest = max(self.latest, trio.current_time() - started_at)
        else:
            self.served[kind] += 1


async def _two_organisations(queue):
    """Offer 5 times the fair share by one and about it by the other."""
    flood = _Flood(slot_guard(queue=queue))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: flood.offer('loud', 100, name='loud'))
        nursery.start_soon(lambda: flood.offer('calm', 19, name='calm'))
    return flood


async def test_flood_does_not_lengthen_the_wait_of_another(autojump_clock):
    fair = await _two_organisations(_FAIR)
    plain = await _two_organisations('fifo')
    assert fair.refused['calm'] == 0
    assert fair.waits['calm'] < 0.15
    assert fair.served['loud'] > 190
    assert plain.refused['calm'] > 50


async def test_return_after_idling_delays_others_a_little(autojump_clock):
    flood = _Flood(slot_guard())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(flood.offer, 'calm', 10, name='calm'))
        nursery.start_soon(partial(flood.offer, 'loud', 100, name='loud'))
        await trio.sleep(1)
        await flood.offer('late', 1, seconds=1, name='late')
        await trio.sleep(4)
        nursery.start_soon(
            partial(flood.offer, 'late', 400, seconds=1, name='late'),
        )
    assert flood.waits['calm'] < 0.8
    assert flood.refused['calm'] == 0


async def test_shares_follow_the_weights(autojump_clock):
    flood = _Flood(slot_guard(weights={'heavy': 3}))
    async with trio.open_nursery() as nursery:
        for name in ('heavy', 'light'):
            nursery.start_soon(
                partial(flood.offer, name, 100, name=name),
            )
    ratio = flood.served['heavy'] / flood.served['light']
    assert 2.7 < ratio < 3.3


async def test_critical_calls_are_shed_last(autojump_clock):
    flood = _Flood(slot_guard())
    async with trio.open_nursery() as nursery:
        for kind, rate in (
            (CallClass.BULK, 60),
            (CallClass.INTERACTIVE, 30),
            (CallClass.CRITICAL, 30),
        ):
            nursery.start_soon(
                partial(flood.offer, kind, rate, call_class=kind),
            )
    assert flood.refused[CallClass.CRITICAL] == 0
    assert flood.served[CallClass.CRITICAL] == 300
    assert flood.served[CallClass.INTERACTIVE] > 80
    assert flood.served[CallClass.BULK] < 20


async def test_given_up_calls_are_refused_long_before_deadline(autojump_clock):
    flood = _Flood(slot_guard())
    await flood.offer('bulk', 400, call_class=CallClass.BULK)
    assert flood.refused['bulk'] > 3000
    assert flood.latest < 3


async def test_queue_is_bounded(autojump_clock):
    guard = slot_guard(slots=2)
    async with trio.open_nursery() as nursery:
        flood = _Flood(guard, work=5)
        nursery.start_soon(lambda: flood.offer('many', 1000, seconds=0.1))
        await trio.sleep(0.2)
        queued = len(guard.queue)
        signal = guard.signal()
        nursery.cancel_scope.cancel()
    assert queued == 8
    assert signal.queued == 8
    assert signal.in_use == signal.limit == 2
    assert signal.expected_wait > 0
    assert signal.shed[CallClass.INTERACTIVE] > 0.5


async def test_call_that_cannot_end_in_time_never_starts(autojump_clock):
    guard = slot_guard()
    for _ in range(8):
        guard.times.add(_call(), 1.0)
    with pytest.raises(RefusedError) as caught:
        async with guard.hold(_call(seconds=0.9)):
            raise AssertionError('a call that must be refused got a slot')
    assert caught.value.refusal.code is RefusalCode.DEADLINE
    assert caught.value.refusal.run_state is RunState.NOT_RUN
    async with guard.hold(_call(seconds=1.1)):
        assert guard.running == 1


@pytest.mark.parametrize(
    ('call_class', 'wait'),
    [(CallClass.CRITICAL, 2.4), (CallClass.INTERACTIVE, 1.8)],
)
async def test_queued_call_is_refused_while_it_could_still_end(
    autojump_clock, call_class, wait
):
    guard = slot_guard(slots=1)
    for _ in range(8):
        guard.times.add(_call(), 1.0)
    async with guard.hold(_call()):
        started_at = trio.current_time()
        with pytest.raises(RefusedError) as caught:
            async with guard.hold(_call(call_class=call_class, seconds=4)):
                raise AssertionError('a call that must be refused got a slot')
        elapsed = trio.current_time() - started_at
    assert caught.value.refusal.code is RefusalCode.OVERLOADED
    assert elapsed == pytest.approx(wait)


async def test_slow_spell_does_not_refuse_for_ever(autojump_clock):
    times = ServiceTimes()
    for _ in range(64):
        times.add(_call(), 60.0)
    assert times.expected_seconds(_call()) == READ.deadline / 2
    await trio.sleep(6)
    assert times.expected_seconds(_call()) == 0


async def test_cancelled_wait_leaves_the_queue(autojump_clock):
    guard = slot_guard(slots=1)
    async with guard.hold(_call()):
        with trio.move_on_after(0.5):
            async with guard.hold(_call()):
                raise AssertionError('the cancelled call got a slot')
        assert not guard.queue
    assert guard.running == 0


async def test_cold_target_starts_slowly(autojump_clock):
    guard = slot_guard(slots=40, is_warm=False)
    cold = guard.limit
    await _Flood(guard, work=0.1).offer('warm-up', 50, seconds=1)
    assert cold == 10
    assert guard.limit == 40


async def _open_call(run, host):
    stream = await run.fleet.network_of('127.2.0.1').dial(host.calls_address)
    connection = HttpClientConnection(stream)
    fields = [
        (b'host', b'x'),
        (b'authorization', f'Bearer {run.key}'.encode()),
    ]
    await connection.send_head(b'GET', _PATH.encode(), fields)
    await connection.send_end()
    return connection


@pytest.mark.parametrize('slots', ['guarded', 'leased', 'unlimited'])
async def test_hang_up_frees_the_running_slot(autojump_clock, slots):
    plans = [HostPlan('walks', work=5, slots=4), HostPlan('gate')]
    policies = Policies(slots=slots)
    async with running_fleet(plans, text=_TEXT, policies=policies) as run:
        walks, gate = run.fleet.hosts
        connection = await _open_call(run, gate)
        await trio.sleep(1)
        before = walks.target.running
        await connection.aclose()
        await trio.sleep(0.1)
        guards = walks.node.guards.by_target.values()
        left = sum(guard.running for guard in guards)
        after = walks.target.running
    assert (before, after, left) == (1, 0, 0)


async def test_hang_up_leaves_the_queue(autojump_clock):
    plans = [HostPlan('walks', work=2, slots=1), HostPlan('gate')]
    async with running_fleet(plans, text=_TEXT) as run:
        walks, gate = run.fleet.hosts
        connections = [await _open_call(run, gate)]
        await trio.sleep(0.1)
        connections += [await _open_call(run, host) for host in (gate, walks)]
        await trio.sleep(0.4)
        guard = next(iter(walks.node.guards.by_target.values()))
        queued = len(guard.queue)
        for connection in connections[1:]:
            await connection.aclose()
        await trio.sleep(0.1)
        left = len(guard.queue)
        await trio.sleep(3)
    assert (queued, left) == (2, 0)
    assert walks.target.calls.total() == 1


async def test_fair_shares_hold_over_the_whole_path(autojump_clock):
    text = service_text(
        service('walks', routes=(READ,)),
        service('gate', routes=(READ,)),
        organisations=[organisation('calm'), organisation('loud')],
    )
    plans = [HostPlan('walks', work=0.1, slots=4), HostPlan('gate')]
    async with running_fleet(plans, text=text) as run:
        loud = await run.operator.give_key('loud')
        await trio.sleep(2)
        statuses: dict[str, Counter[int]] = {
            run.key: Counter(),
            loud.key: Counter(),
        }

        async def call(key):
            gate = run.fleet.hosts[1]
            answer = await run.fleet.call(gate, _PATH, key=key)
            statuses[key][answer.status] += 1

        async with trio.open_nursery() as nursery:
            for number in range(600):
                nursery.start_soon(call, loud.key)
                if number % 6 == 0:
                    nursery.start_soon(call, run.key)
                await trio.sleep(0.01)
        target = run.fleet.hosts[0].target
    assert target.max_running <= 4
    assert statuses[run.key][200] >= 95
    assert statuses[loud.key][200] > 100


@pytest.mark.parametrize('end', [CallEnd.SHED, CallEnd.TIMED_OUT])
async def test_limit_falls_when_the_target_sheds_or_is_late(
    autojump_clock, end
):
    guard = slot_guard(slots=20, limit='additive-increase')
    for _ in range(200):
        guard.record_ended_calls(LimitSample(end, 1, 20))
    fallen = guard.limit
    for _ in range(400):
        guard.record_ended_calls(LimitSample(CallEnd.ANSWERED, 1, guard.limit))
    events = [event.kind for event in guard.timeline.other_events]
    assert fallen <= 10
    assert guard.limit == 20
    assert events == [EventKind.LIMIT_LOWERED]


async def test_gradient_falls_with_latency_and_comes_back(autojump_clock):
    guard = slot_guard(slots=40, limit='gradient')

    async def answer(seconds):
        for _ in range(1500):
            guard.record_ended_calls(
                LimitSample(CallEnd.ANSWERED, seconds, guard.limit)
            )
            await trio.sleep(0.001)
        return guard.limit

    normal = await answer(0.05)
    slow = await answer(0.5)
    again = await answer(0.05)
    assert (normal, again) == (40, 40)
    assert slow <= 12


async def test_shedding_target_lowers_the_limit_of_its_guard(autojump_clock):
    plans = [HostPlan('walks', slots=8), HostPlan('gate')]
    async with running_fleet(plans, text=_TEXT) as run:
        walks, gate = run.fleet.hosts
        walks.target.faults.is_shedding = True
        for _ in range(60):
            await run.fleet.call(gate, _PATH, key=run.key)
        await trio.sleep(2)
        (guard,) = walks.node.guards.by_target.values()
        limit = guard.policy.limit
    assert limit < 5
