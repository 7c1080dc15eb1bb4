"""Call-graph admission control: levels, their exchange, and refusals."""

from typing import Any

import builders
import pytest
import trio
from builders import (
    READ,
    running_fleet,
    service,
    service_text,
    target_record,
)

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.http_fields import find_field
from boragetrestle_kernel.ids import OrgId, ServiceName
from boragetrestle_kernel.refusal import RefusalCode, RefusedError, RunState
from boragetrestle_kernel.service_text import Dependency, Service
from boragetrestle_node.admission_gate import AdmissionInputs, CallGraphGate
from boragetrestle_node.admission_level import FULL_LEVEL
from boragetrestle_node.directory import Directory
from boragetrestle_node.fair_admission import WINDOW_SECONDS, FairAdmission
from boragetrestle_node.guard_signal import GuardSignal
from boragetrestle_node.level_control import LevelControl
from boragetrestle_node.level_report import (
    LEVELS_FIELD,
    MAX_REPORTS,
    LevelReport,
    LevelReports,
)
from boragetrestle_node.level_table import LEVEL_VALID_SECONDS, LevelTable
from boragetrestle_standin.host_plan import HostPlan, OnwardCall

_ACACIA = OrgId('acacia')
_BAOBAB = OrgId('baobab')
_ROUTES = (READ,)


def _depending(name: str, *dependencies: Dependency) -> Service:
    return Service(name, routes=_ROUTES, depends_on=dependencies)


@pytest.fixture
def state():
    return FleetState()


@pytest.fixture
def table():
    directory = Directory()
    for number, name in enumerate(('front', 'left', 'right', 'deep')):
        directory.apply(target_record(number, service=name))
    return LevelTable(directory)


@pytest.fixture
def gate(state, table):
    return CallGraphGate(AdmissionInputs(state=state, levels=table))


def _apply_report(table, number, name, level, *, age=0.0, count=1):
    report = LevelReport(f'node-{number}:{name}', level, count, age)
    return table.apply_reports([report])


def _level(state, gate, *services, name='front'):
    """Return a service's combined level with these in the services text."""
    named = {srv.name for srv in services}
    rest = [
        service(other, routes=_ROUTES)
        for other in ('front', 'left', 'right', 'deep')
        if other not in named
    ]
    state.replace_text(service_text(*services, *rest))
    return gate.combined_level(ServiceName(name))


async def test_required_dependency_counts_at_any_depth(
    autojump_clock,
    state,
    gate,
    table,
):
    _apply_report(table, 3, 'deep', 1.5)
    chain = (
        _depending('front', Dependency('left')),
        _depending('left', Dependency('deep')),
    )
    assert _level(state, gate, *chain) == 1.5


async def test_optional_dependency_does_not_count(
    autojump_clock,
    state,
    gate,
    table,
):
    _apply_report(table, 1, 'left', 0.5)
    front = _depending('front', Dependency('left', optional=True))
    assert _level(state, gate, front) == FULL_LEVEL


async def test_alternatives_count_with_the_best_of_them(
    autojump_clock,
    state,
    gate,
    table,
):
    _apply_report(table, 1, 'left', 0.5)
    _apply_report(table, 2, 'right', 2.5)
    front = _depending(
        'front',
        Dependency('left', alternative='side'),
        Dependency('right', alternative='side'),
    )
    assert _level(state, gate, front) == 2.5


async def test_edited_graph_takes_effect_at_once(
    autojump_clock,
    state,
    gate,
    table,
):
    _apply_report(table, 3, 'deep', 1.5)
    first = _level(state, gate, _depending('front', Dependency('deep')))
    second = _level(state, gate, _depending('front', Dependency('left')))
    assert (first, second) == (1.5, FULL_LEVEL)


async def test_level_ages_out(autojump_clock, state, gate, table):
    _apply_report(table, 0, 'front', 0.5, age=1.0)
    assert _level(state, gate) == 0.5
    await trio.sleep(LEVEL_VALID_SECONDS - 1)
    assert gate.combined_level(ServiceName('front')) == FULL_LEVEL


async def test_older_report_changes_nothing(autojump_clock, state, gate, table):
    assert _apply_report(table, 0, 'front', 0.5, count=7)
    assert not _apply_report(table, 0, 'front', 3.0, count=6)
    assert _level(state, gate) == 0.5


async def test_one_slow_target_of_three_closes_nothing(autojump_clock):
    directory = Directory()
    for number in range(3):
        directory.apply(target_record(number))
    table = LevelTable(directory)
    _apply_report(table, 0, 'walks', 0.1)
    assert table.service_level(ServiceName('walks')) == FULL_LEVEL
    _apply_report(table, 1, 'walks', 0.1)
    assert table.service_level(ServiceName('walks')) == 0.1


async def test_refusal_tells_that_nothing_ran(
    autojump_clock,
    state,
    gate,
    table,
):
    _apply_report(table, 0, 'front', 1.0)
    _level(state, gate)
    call = builders.call(service=ServiceName('front'))
    with pytest.raises(RefusedError) as caught:
        gate.check(call)
    refusal = caught.value.refusal
    assert refusal.code is RefusalCode.DEPENDENCY_OVERLOADED
    assert refusal.run_state is RunState.NOT_RUN
    assert refusal.retry_after


async def test_admitted_chain_is_not_refused_on_its_way(
    autojump_clock,
    state,
    gate,
    table,
):
    _apply_report(table, 0, 'front', 1.0)
    _level(state, gate)
    gate.check(builders.call(service=ServiceName('front'), depth=1))


async def test_critical_class_passes_a_level_of_one(
    autojump_clock,
    state,
    gate,
    table,
):
    _apply_report(table, 0, 'front', 1.0)
    _level(state, gate)
    gate.check(
        builders.call(
            service=ServiceName('front'),
            call_class=CallClass.CRITICAL,
        ),
    )


async def _admitted_shares(demand, share, *, weights=None):
    """Return the share of calls admitted, by organisation."""
    fair = FairAdmission(lambda org: (weights or {}).get(org, 1.0))
    calls = dict.fromkeys(demand, 0)
    admitted = dict.fromkeys(demand, 0)
    for window in range(12):
        for org, count in demand.items():
            passed = sum(fair.admits(org, share) for _ in range(count))
            if window > 4:
                calls[org] += count
                admitted[org] += passed
        await trio.sleep(WINDOW_SECONDS)
    return {org: admitted[org] / calls[org] for org in demand}


async def test_heavy_organisation_is_refused_first(autojump_clock):
    shares = await _admitted_shares({_BAOBAB: 20, _ACACIA: 100}, 0.5)
    assert shares[_BAOBAB] >= 0.99
    assert 0.35 < shares[_ACACIA] < 0.45


async def test_equal_demand_is_cut_by_weight(autojump_clock):
    demand = {_BAOBAB: 90, _ACACIA: 90}
    weights = {_BAOBAB: 2.0, _ACACIA: 1.0}
    shares = await _admitted_shares(demand, 0.5, weights=weights)
    assert 1.8 < shares[_BAOBAB] / shares[_ACACIA] < 2.2


def _guard_signal(*, offered, shed, ended=0, queued=0, in_use=5):
    return GuardSignal(
        queued=queued,
        expected_wait=0,
        shed=(0, 0, 0),
        limit=10,
        in_use=in_use,
        offered_total=offered,
        shed_total=shed,
        ended_total=ended,
    )


def test_control_cuts_the_class_that_was_shed():
    control = LevelControl()
    signal = _guard_signal(offered=(10, 100, 100), shed=(0, 40, 100), queued=5)
    assert control.update(signal, now=1) == pytest.approx(1.768)


def test_old_calls_that_a_queue_sheds_cut_nothing():
    control = LevelControl()
    signal = _guard_signal(
        offered=(0, 40, 0), shed=(0, 16, 0), ended=41, queued=9
    )
    assert control.update(signal, now=1) == FULL_LEVEL


def test_control_waits_for_callers_to_react():
    control = LevelControl()
    first = _guard_signal(offered=(0, 100, 0), shed=(0, 50, 0), queued=5)
    second = _guard_signal(offered=(0, 200, 0), shed=(0, 100, 0), queued=5)
    level = control.update(first, now=1)
    assert control.update(second, now=1.25) == level


def test_control_grows_back_within_seconds_without_calls():
    control = LevelControl()
    shed = (0, 95, 100)
    control.update(_guard_signal(offered=(10, 100, 100), shed=shed), now=0)
    idle = _guard_signal(offered=(10, 100, 100), shed=shed, in_use=0)
    for step in range(16):
        control.update(idle, now=1 + step / 4)
    assert control.level == FULL_LEVEL


_SERVICES_TEXT = service_text(
    service('front', 'deep', routes=_ROUTES),
    service('deep', routes=_ROUTES),
    service('other', routes=_ROUTES),
)
_PLANS = [
    HostPlan('front', onward=(OnwardCall('GET', '/deep/items/1'),)),
    HostPlan('deep', work=1, slots=1),
    *[HostPlan('other')] * 10,
]


async def _overload(run):
    """Overload the deep service with calls through one entry node."""
    answers = []

    async def call():
        answers.append(
            await run.fleet.call(
                run.fleet.hosts[0],
                '/front/items/1',
                key=run.key,
            ),
        )

    async with trio.open_nursery() as nursery:
        for _ in range(40):
            nursery.start_soon(call)
            await trio.sleep(0.02)
    return answers


def _level_at(host):
    gate = host.node.outbound.admission.gate
    assert isinstance(gate, CallGraphGate)
    return gate.combined_level(ServiceName('front'))


async def test_levels_reach_nodes_that_never_called_the_service(
    autojump_clock,
):
    async with running_fleet(_PLANS, text=_SERVICES_TEXT) as run:
        run.nursery.start_soon(_overload, run)
        await trio.sleep(2.5)
        levels = [_level_at(host) for host in run.fleet.hosts]
    assert max(levels) < 2


async def test_levels_stay_between_nodes(autojump_clock):
    async with running_fleet(_PLANS[:2], text=_SERVICES_TEXT) as run:
        answers = await _overload(run)
        seen = [host.target.last_fields for host in run.fleet.hosts]
    assert any(answer.code for answer in answers)
    assert not any(find_field(ans.fields, LEVELS_FIELD) for ans in answers)
    assert not any(find_field(fields, LEVELS_FIELD) for fields in seen)


async def test_reports_of_an_interval_are_bounded(autojump_clock):
    async with running_fleet([HostPlan('walks')] * 2) as run:
        sender, receiver = (host.node for host in run.fleet.hosts)
        received: list[Any] = []

        async def receive(_sender, message):
            await trio.lowlevel.checkpoint()
            received.append(len(message.reports))

        receiver.links.on(LevelReports, receive)
        sender.outbound.admission.spread.apply_reports(
            LevelReport(f'node-{number}:walks', 1, 1, 0)
            for number in range(100)
        )
        await trio.sleep(0.5)
    assert 0 < max(received) <= MAX_REPORTS
    assert sum(received) <= 3 * MAX_REPORTS
