"""Passive ejection, probes by the node beside, and the return."""

import trio
from builders import lone_ejector, running_fleet, target_record

from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.target_record import TargetState
from boragetrestle_kernel.timeline import EventKind
from boragetrestle_node.target_book import TargetBook
from boragetrestle_standin.host_plan import HostPlan

_PATH = '/walks/items/1'
_CALLS = 60


async def _call_many(run, host, count=_CALLS):
    answers = []
    for _ in range(count):
        answers.append(await run.fleet.call(host, _PATH, key=run.key))
        await trio.sleep(0.02)
    return [answer.status for answer in answers]


def _events(host, kind):
    return [
        event for event in host.node.timeline.other_events if event.kind is kind
    ]


async def test_dead_target_fails_no_call_and_is_left_alone(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 3) as run:
        caller, dead, _ = run.fleet.hosts
        dead.target.cancel_scope.cancel()
        statuses = await _call_many(run, caller)
        record = caller.node.directory.records[TargetId('node-2:walks')]
    assert statuses == [200] * _CALLS
    assert record.state is TargetState.SUSPECTED


async def test_probe_brings_a_restarted_target_back(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 3) as run:
        caller, dead, _ = run.fleet.hosts
        dead.target.cancel_scope.cancel()
        await _call_many(run, caller)
        dead.target.cancel_scope = trio.CancelScope()
        await run.nursery.start(dead.target.run)
        await trio.sleep(2)
        before = dead.target.calls.total()
        statuses = await _call_many(run, caller, 200)
        probes = dead.node.outbound.probe.count
        await trio.sleep(5)
        probes_later = dead.node.outbound.probe.count
    assert statuses == [200] * 200
    assert dead.target.calls.total() - before > 20
    assert probes_later == probes


async def test_no_probe_while_calls_get_through(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 2) as run:
        await _call_many(run, run.fleet.hosts[0])
        probes = [host.node.outbound.probe.count for host in run.fleet.hosts]
    assert probes == [0, 0]


async def test_target_that_answers_errors_at_once_is_ejected(autojump_clock):
    async with running_fleet([HostPlan('walks', work=0.01)] * 3) as run:
        caller, broken, _ = run.fleet.hosts
        broken.target.faults.is_failing = True
        broken.target.work = 0
        await _call_many(run, caller, 200)
        late = await _call_many(run, caller, 100)
        ejected = _events(caller, EventKind.TARGET_EJECTED)
    assert ejected
    assert late.count(500) <= 5


async def test_fault_of_all_targets_ejects_none(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 3) as run:
        caller = run.fleet.hosts[0]
        for host in run.fleet.hosts:
            host.target.faults.is_failing = True
        await _call_many(run, caller, 100)
        ejected = _events(caller, EventKind.TARGET_EJECTED)
    assert not ejected


async def test_at_most_half_of_a_service_is_ejected(autojump_clock):
    book = TargetBook()
    ejector = lone_ejector(book)
    targets = [target_record(number) for number in range(4)]
    for _ in range(10):
        for record in targets:
            ejector.failed(record, targets)
    assert sum(view.is_ejected for view in book.views.values()) == 2


async def test_ejected_target_returns_by_a_trial_call(autojump_clock):
    async with running_fleet([HostPlan('walks', work=0.01)] * 3) as run:
        caller, broken, _ = run.fleet.hosts
        broken.target.faults.is_failing = True
        broken.target.work = 0
        await _call_many(run, caller, 200)
        broken.target.faults.is_failing = False
        await _call_many(run, caller, 300)
        before = broken.target.calls.total()
        await _call_many(run, caller, 200)
        returned = _events(caller, EventKind.TARGET_RETURNED)
    assert returned
    assert broken.target.calls.total() - before > 20


async def test_trial_calls_come_ever_more_rarely(autojump_clock):
    async with running_fleet([HostPlan('walks', work=0.01)] * 3) as run:
        caller, broken, _ = run.fleet.hosts
        broken.target.faults.is_failing = True
        broken.target.work = 0
        await _call_many(run, caller, 200)
        before = broken.target.calls.total()
        await _call_many(run, caller, 500)
        trials = broken.target.calls.total() - before
    assert trials <= 5
