"""Reports that another writer sent, and not the target of the host."""

import json
from typing import Any

import pytest
from boragetrestle_deploy.adapter import DeployAdapter
from deploy_builders import (
    config_document,
    report_document,
    resource,
    route_resource,
)
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from path_builders import (
    NAMES,
    GuardHarness,
    LineLog,
    ManualClock,
    configuration,
    report,
    route,
    run_order,
    settings,
)
from path_standins import Host, MemoryStore

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.guard import Guard
from boragetrestle_sidecar.outcome import OutcomeKind
from boragetrestle_sidecar.target_report import TargetReport


def foreign(**changes: Any) -> TargetReport:
    """Return a report of a target that started later, of an unknown service."""
    known: dict[str, Any] = {
        'target': 'x-9',
        'started_at': 9,
        'service': 'nobody',
    }
    return report(**{**known, **changes})


def without(fields: dict[str, Any], name: str) -> dict[str, Any]:
    """Return fields without one of them."""
    return {each: known for each, known in fields.items() if each != name}


def configured_guard() -> GuardHarness:
    """Return a guard whose configuration has the services walks and gates."""
    bench = GuardHarness()
    bench.guard.configure(configuration(route(), route(services={'gates': 1})))
    return bench


# Guards against a foreign service in what targets are told of their callers.
def test_report_of_an_unknown_service_does_not_replace_the_target() -> None:
    """The own target has an older start and would not be used any more."""
    bench = configured_guard()
    with pytest.raises(WireError, match="'nobody'"):
        bench.guard.handle_heartbeat(foreign())
    bench.guard.handle_heartbeat(report(sequence=2))
    assert bench.guard.is_open
    bench.answer(bench.submit(run_order()))
    assert bench.outcomes['r-1'].kind is OutcomeKind.ANSWERED


# Guards against a foreign service in what targets are told of their callers.
def test_requests_keep_their_service_after_a_foreign_report() -> None:
    """Targets are told the service of the host where a request began."""
    node = Host(1, MemoryStore(), LineLog()).node
    node.guard.configure(configuration())
    with pytest.raises(WireError):
        node.guard.handle_heartbeat(foreign())
    assert node.own_service() == 'walks'


def test_target_of_another_known_service_may_take_the_address() -> None:
    """Addresses of targets that are gone are used again."""
    bench = configured_guard()
    bench.guard.handle_heartbeat(foreign(service='gates'))
    found = bench.guard.reported_target.report
    assert found is not None
    assert found.service == 'gates'


def test_foreign_report_is_dropped_when_the_configuration_comes() -> None:
    """Until then a node that has just started knows no services."""
    guard = Guard(settings(), NAMES, LineLog(), clock=ManualClock())
    guard.handle_heartbeat(foreign())
    guard.configure(configuration())
    assert guard.reported_target.report is None
    guard.handle_heartbeat(report(sequence=2))
    assert guard.is_open


def test_answer_that_comes_after_its_target_was_dropped_is_passed_on() -> None:
    """A foreign report may come while the target is at work."""
    bench = GuardHarness()
    job = bench.submit(run_order())
    bench.guard.handle_heartbeat(foreign())
    bench.guard.configure(configuration())
    bench.answer(job)
    assert bench.outcomes['r-1'].kind is OutcomeKind.ANSWERED


def test_services_of_earlier_configurations_are_still_known() -> None:
    """Their targets run on when the last route to them is removed."""
    bench = configured_guard()
    bench.guard.configure(configuration(version=2))
    bench.guard.handle_heartbeat(foreign(service='gates'))
    assert bench.guard.is_open


# Guards against runs at a target of another service than they ask for.
def test_target_does_not_change_its_service() -> None:
    """Another writer may use its id and its start."""
    bench = configured_guard()
    with pytest.raises(WireError, match="'gates'"):
        bench.guard.handle_heartbeat(report(service='gates', sequence=2))
    bench.submit(run_order())
    assert b'target: t-1' in bench.sent()


INFO = {'Service': 'walks', 'Version': 'v1', 'Zone': 'a', 'Slots': 8}
STATUS = {'State': 'ready', 'Sequence': 1, 'ColdRemainingMs': 0}
IN_A_HEADER = b'a%0d%0ax-organisation:%20acacia'


# Guards against headers that another writer smuggles into requests.
@pytest.mark.parametrize(
    'target', [IN_A_HEADER, b'', b'%ff%fe', b'a%20b', b'%00', b'x' * 300]
)
@pytest.mark.parametrize('method', [b'PUT', b'DELETE'])
def test_id_that_cannot_stand_in_a_header_is_refused(
    method: bytes,
    target: bytes,
) -> None:
    """Requests name the target that they expect in a header."""
    call = CallerRequest(
        method, b'/instances/' + target, body=report_document()
    )
    with pytest.raises(WireError):
        DeployAdapter().decode_target_call(call)


@pytest.mark.parametrize(
    'changes',
    [
        {'Address': '127.0.0.1:70000'},
        {'Address': '127.0.0.1:²'},
        {'Address': '127.0.0.1:' + '9' * 5000},
        {'Info': {**INFO, 'Slots': -1}},
        {'Info': {**INFO, 'Slots': 0}},
        {'Info': {**INFO, 'Slots': 2**40}},
        {'Status': {**STATUS, 'Sequence': -1}},
        {'Status': {**STATUS, 'Sequence': 2**63}},
        {'Status': {**STATUS, 'Sequence': 10**4000}},
        {'Status': {**STATUS, 'ColdRemainingMs': 1e300}},
        {'born': -1},
        {'born': 2**63},
        {'born': 10**30},
    ],
)
def test_numbers_that_no_target_has_are_refused(
    changes: dict[str, Any],
) -> None:
    """They would be passed on to peers, or keep a target cold for ever."""
    call = CallerRequest(
        b'PUT', b'/instances/i-1', body=report_document(**changes)
    )
    with pytest.raises(WireError):
        DeployAdapter().decode_target_call(call)


# Guards against a target that has left and is used again with no known start.
@pytest.mark.parametrize(
    'changes',
    [
        {'born': None},
        *({'Info': without(INFO, name)} for name in INFO),
        *({'Status': without(STATUS, name)} for name in STATUS),
    ],
    ids=str,
)
def test_report_that_lacks_a_field_is_refused(changes: dict[str, Any]) -> None:
    """Another writer has sent it; the target states all of them."""
    document = json.loads(report_document(**changes))
    known = {name: each for name, each in document.items() if each is not None}
    call = CallerRequest(
        b'PUT', b'/instances/i-1', body=json.dumps(known).encode()
    )
    with pytest.raises(WireError, match='i-1'):
        DeployAdapter().decode_target_call(call)


def test_report_that_is_nested_too_deeply_is_refused() -> None:
    """It is answered like any other that cannot be decoded."""
    body = report_document()[:-1] + b', "x": ' + b'[' * 100_000
    with pytest.raises(WireError):
        DeployAdapter().decode_target_call(
            CallerRequest(b'PUT', b'/instances/i-1', body=body)
        )


@hypothesis_settings(max_examples=300, deadline=None)
@given(
    target=st.binary(max_size=40),
    fields=st.dictionaries(
        st.sampled_from(('Address', 'Info', 'Status', 'born', 'x')),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda nodes: (
                st.lists(nodes, max_size=3)
                | st.dictionaries(st.text(max_size=9), nodes, max_size=3)
            ),
        ),
    ),
)
def test_report_of_any_shape_is_decoded_or_refused(
    target: bytes,
    fields: dict[str, Any],
) -> None:
    """What is decoded lies within the bounds of the types."""
    body = report_document(**fields)
    call = CallerRequest(b'PUT', b'/instances/' + target, body=body)
    try:
        found = DeployAdapter().decode_target_call(call)
    except WireError:
        return
    assert isinstance(found, TargetReport)
    assert found.target.isascii()
    assert 0 < found.slots
    assert 0 <= found.started_at < 2**63
    assert 0 <= found.sequence < 2**63


def test_configuration_names_services_of_routes_and_without_any() -> None:
    """A service may have targets that only call others."""
    split = [{'Service': 'x', 'Weight': 1}, {'Service': 'y', 'Weight': 1}]
    found = DeployAdapter().decode_configuration(
        config_document(
            route_resource('r', Service='', TrafficSplit=split),
            resource('Services', 'idle', {'HealthPath': '/health'}),
        )
    )
    assert found.services == {'x', 'y', 'idle'}
