"""Requests that crash targets, and others that ran at the same time."""

from typing import Any

import builders
import trio
from builders import READ, running_fleet, service, service_text

from boragetrestle_kernel.http_fields import find_field
from boragetrestle_kernel.ids import NodeId, ServiceName
from boragetrestle_kernel.service_text import Route
from boragetrestle_kernel.timeline import EventKind
from boragetrestle_node.replayable_body import ReplayableBody
from boragetrestle_node.suspect import Death, SuspectState
from boragetrestle_node.suspect_messages import (
    ExclusiveRunEnd,
    ExclusiveRunRequest,
)
from boragetrestle_node.suspect_table import (
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    SuspectTable,
)
from boragetrestle_standin.host_plan import HostPlan

_CRASHING_PATH = '/walks/orders/bad'
_HARMLESS_PATH = '/walks/orders/good'
_WRITE = Route('POST', '/orders/*')
_SERVICES_TEXT = service_text(service('walks', routes=(READ, _WRITE)))
_SPREAD_SECONDS = 1.0


def _set_crash_path(run, path=_CRASHING_PATH):
    for host in run.fleet.hosts:
        host.target.faults.crash_path = path


def _deaths(run):
    return sum(
        host.target.cancel_scope.cancel_called for host in run.fleet.hosts
    )


async def _post(run, host, path, body=b'x'):
    return await run.fleet.call(
        host,
        path,
        method='POST',
        key=run.key,
        body=body,
    )


async def test_killer_is_refused_after_its_second_victim(autojump_clock):
    async with running_fleet(
        [HostPlan('walks')] * 5, text=_SERVICES_TEXT
    ) as run:
        _set_crash_path(run)
        answers = []
        for host in run.fleet.hosts:
            answers.append(await _post(run, host, _CRASHING_PATH))
            await trio.sleep(_SPREAD_SECONDS)
        other = await _post(run, run.fleet.hosts[0], _HARMLESS_PATH)
        deaths = _deaths(run)
    codes = [answer.code for answer in answers]
    assert codes == ['target-failed'] * 2 + ['request-quarantined'] * 3
    assert [answer.run_state for answer in answers[2:]] == ['not-run'] * 3
    assert find_field(answers[2].fields, b'retry-after')
    assert other.status == 200
    assert deaths == 2


async def test_retries_of_a_killer_stop_at_its_second_victim(autojump_clock):
    async with running_fleet(
        [HostPlan('walks')] * 5, text=_SERVICES_TEXT
    ) as run:
        _set_crash_path(run, '/walks/items/bad')
        answer = await run.fleet.call(
            run.fleet.hosts[0],
            '/walks/items/bad',
            key=run.key,
        )
        deaths = _deaths(run)
    assert (answer.code, answer.run_state) == (
        'request-quarantined',
        'unknown',
    )
    assert deaths == 2


async def test_bystanders_are_cleared_and_answered(autojump_clock):
    plans = [HostPlan('walks', work=0.3)] * 5
    statuses = []

    async def read(run, host, number):
        answer = await run.fleet.call(
            host,
            f'/walks/items/{number}',
            key=run.key,
        )
        statuses.append(answer.status)

    async with running_fleet(plans, text=_SERVICES_TEXT) as run:
        _set_crash_path(run)
        hosts = run.fleet.hosts
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                for place in range(40):
                    number = place % 10
                    nursery.start_soon(read, run, hosts[place % 5], number)
                await trio.sleep(0.1)
                await _post(run, hosts[0], _CRASHING_PATH)
            await trio.sleep(_SPREAD_SECONDS)
        killer = await _post(run, hosts[1], _CRASHING_PATH)
        deaths = _deaths(run)
        for number in range(10):
            await read(run, hosts[2], number)
        await trio.sleep(_SPREAD_SECONDS)
        parts = [host.node.outbound.quarantine for host in hosts]
    assert deaths == 2
    assert statuses == [200] * 90
    assert killer.code == 'request-quarantined'
    assert [len(part.table.suspects) for part in parts] == [1] * 5


async def test_suspects_run_one_at_a_time_at_a_target(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        quarantine = run.fleet.hosts[0].node.outbound.quarantine
        leases = quarantine.leases
        node = NodeId('node-9')
        answers = [
            await leases.grant(
                node, ExclusiveRunRequest(name, 'node-1:walks', 5)
            )
            for name in ('h-1', 'h-2')
        ]
        await leases.end(node, ExclusiveRunEnd('h-1', 'node-1:walks'))
        answers.append(
            await leases.grant(
                node, ExclusiveRunRequest('h-2', 'node-1:walks', 5)
            ),
        )
        await trio.sleep(6)
        answers.append(
            await leases.grant(
                node, ExclusiveRunRequest('h-1', 'node-1:walks', 5)
            ),
        )
    granted = [answer.is_granted for answer in answers]
    assert granted == [True, False, True, True]


class _Request:
    """A request without a body."""

    method = b'POST'
    target = b'/walks/orders/1'

    async def next_chunk(self):
        await trio.lowlevel.checkpoint()
        return b''


async def test_target_that_lives_is_no_victim(autojump_clock):
    async with running_fleet(
        [HostPlan('walks')] * 2, text=_SERVICES_TEXT
    ) as run:
        host, other = run.fleet.hosts
        quarantine = host.node.outbound.quarantine
        request: Any = _Request()
        counts = []
        for _ in range(2):
            await quarantine.report_broken_connection(
                builders.call(),
                request,
                ReplayableBody(request),
                target=host.node.directory.ready(ServiceName('walks'))[1],
            )
            counts.append(len(quarantine.table.suspects))
            other.target.cancel_scope.cancel()
            await trio.sleep(0.1)
    assert counts == [0, 1]


async def test_quarantine_ends_and_lasts_longer_next_time(autojump_clock):
    table = SuspectTable()
    for number in range(2):
        table.add_death('h-1', Death(f't{number}', 10.0), ran_exclusively=True)
    suspect = table.find('h-1')
    assert suspect is not None
    assert table.state(suspect) is SuspectState.QUARANTINED
    await trio.sleep(QUARANTINE_SECONDS + 1)
    assert table.state(suspect) is SuspectState.SUSPECTED
    table.add_death('h-1', Death('t3', 100.0), ran_exclusively=True)
    await trio.sleep(QUARANTINE_SECONDS + 1)
    assert table.state(suspect) is SuspectState.QUARANTINED


async def test_two_reports_of_one_death_count_once(autojump_clock):
    table = SuspectTable()
    assert table.add_death('h-1', Death('t1', 10.0), ran_exclusively=False)
    assert not table.add_death('h-1', Death('t1', 11.0), ran_exclusively=False)
    suspect = table.find('h-1')
    assert suspect is not None
    assert table.state(suspect) is SuspectState.SUSPECTED


async def test_two_suspects_of_the_same_deaths_run_apart(autojump_clock):
    table = SuspectTable()
    for name in ('h-1', 'h-2'):
        for target in ('t1', 't2'):
            table.add_death(name, Death(target, 10.0), ran_exclusively=False)
    suspects = [table.find('h-1'), table.find('h-2')]
    states = {table.state(suspect) for suspect in suspects if suspect}
    assert states == {SuspectState.SUSPECTED}
    assert table.clear('h-2')
    assert suspects[0] is not None
    assert table.state(suspects[0]) is SuspectState.QUARANTINED


async def test_suspects_are_bounded_and_expire(autojump_clock):
    table = SuspectTable()
    for number in range(2 * MAX_SUSPECTS):
        table.add_death(f'{number}-1', Death('t1', 10.0), ran_exclusively=False)
    assert len(table.suspects) == len(table.heads) == MAX_SUSPECTS
    await trio.sleep(3600)
    assert table.find(f'{2 * MAX_SUSPECTS - 1}-1') is None


async def test_events_tell_why_a_request_is_refused(autojump_clock):
    async with running_fleet(
        [HostPlan('walks')] * 4, text=_SERVICES_TEXT
    ) as run:
        _set_crash_path(run)
        for host in run.fleet.hosts[:2]:
            await _post(run, host, _CRASHING_PATH)
            await trio.sleep(_SPREAD_SECONDS)
        kinds = {
            event.kind
            for event in run.fleet.hosts[3].node.timeline.other_events
        }
    assert EventKind.REQUEST_QUARANTINED in kinds
