"""Decoding the documents and calls of the users' platform."""

import json
import random
from pathlib import Path
from typing import Any

import pytest
from boragetrestle_deploy.adapter import DeployAdapter
from boragetrestle_deploy.settings import decode_settings
from deploy_builders import (
    config_document,
    report_document,
    resource,
    route_resource,
    settings_document,
)

from boragetrestle_kernel.errors import (
    BoragetrestleError,
    SettingsError,
    TextError,
    WireError,
)
from boragetrestle_kernel.ids import TargetId
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.platform_adapter import TargetLeave
from boragetrestle_sidecar.program import run_program
from boragetrestle_sidecar.target_report import TargetState

ADAPTER = DeployAdapter()


def put(body: bytes, target: bytes = b'/instances/i-1') -> CallerRequest:
    """Return the request of a target's report."""
    return CallerRequest(b'PUT', target, body=body)


def test_settings_are_decoded_in_seconds() -> None:
    """Durations become seconds; unknown fields are ignored."""
    found = decode_settings(settings_document())
    assert str(found.callers) == '10.1.0.2:8548'
    assert str(found.target) == '10.1.0.2:8547'
    assert found.heartbeat_seconds == 1.5
    assert found.retry_window == 10


@pytest.mark.parametrize(
    'changes',
    [
        {'ListenAddrs': {}},
        {'AppAddr': 'nowhere'},
        {'HeartbeatMs': 0},
        {'Provider': {'Address': 7}},
    ],
)
def test_wrong_settings_name_their_field(changes: dict[str, Any]) -> None:
    """The error carries a remedy."""
    with pytest.raises(SettingsError) as caught:
        decode_settings(settings_document(**changes))
    assert caught.value.remedy


def test_configuration_is_decoded_into_policies() -> None:
    """A route's kind, not its name, decides whether it may be retried."""
    found = ADAPTER.decode_configuration(
        config_document(
            route_resource('read'),
            route_resource('write', Prefix='/w/', Kind='non_idempotent'),
            route_resource('file', Prefix='/f/', Kind='download', Public=True),
            resource(
                'Tenants',
                'acacia',
                {'ApiKeys': ['k1', 'k2'], 'RatePerS': 5, 'Burst': 9},
            ),
            resource('Tenants', 'free', {'ApiKeys': ['k3']}),
        )
    )
    read = found.find_route('EXAMPLE', '/walks/1')
    assert read is not None
    assert read.time_limit == 0.8
    assert [each.may_repeat for each in found.routes] == [True, False, True]
    assert [each.needs_key for each in found.routes] == [True, True, False]
    acacia = found.find_organisation('k2')
    assert acacia is not None
    assert acacia.terms.rate == 5
    free = found.find_organisation('k3')
    assert free is not None
    assert not free.is_limited
    assert found.find_organisation('') is None


def test_longest_prefix_wins() -> None:
    """Of the routes of a host, the one with the longest prefix is found."""
    found = ADAPTER.decode_configuration(
        config_document(
            route_resource('short', Prefix='/a/'),
            route_resource('long', Prefix='/a/b/'),
        )
    )
    match = found.find_route('example', '/a/b/c')
    assert match is not None
    assert match.name == 'long'
    assert found.find_route('example', '/a') is None


def test_split_keeps_its_weights() -> None:
    """A route may lead to several services."""
    split = [{'Service': 'x', 'Weight': 90}, {'Service': 'y', 'Weight': 10}]
    found = ADAPTER.decode_configuration(
        config_document(route_resource('r', Service='', TrafficSplit=split))
    )
    assert [share.weight for share in found.routes[0].shares] == [90, 10]


@pytest.mark.parametrize(
    'document',
    [b'', b'[]', b'{"Version": 1}', b'{"Version": "x", "Resources": []}'],
)
def test_wrong_configuration_is_a_typed_error(document: bytes) -> None:
    """It raises ``TextError``, so the configuration in force stays."""
    with pytest.raises(TextError):
        ADAPTER.decode_configuration(document)


def test_heartbeat_is_decoded() -> None:
    """The target's start time, which identifies an incarnation, is kept."""
    found = ADAPTER.decode_target_call(put(report_document()))
    assert not isinstance(found, TargetLeave)
    assert found.target == 'i-1'
    assert found.started_at == 1782542843000
    assert found.state is TargetState.READY
    assert found.cold_seconds == 0.5


def test_leave_is_decoded() -> None:
    """Some targets never report that they drain."""
    request = CallerRequest(b'DELETE', b'/instances/i-1')
    assert ADAPTER.decode_target_call(request) == TargetLeave(TargetId('i-1'))


@pytest.mark.parametrize(
    'body',
    [
        b'\xff\x00',
        b'{}',
        report_document(Address=7),
        report_document(Address='x'),
        report_document(
            Status={'State': 'resting', 'Sequence': 1, 'ColdRemainingMs': 0}
        ),
        report_document(Status={'State': 'ready', 'ColdRemainingMs': 0}),
        report_document(
            Info={
                'Service': 'walks',
                'Version': 'v1',
                'Zone': 'a',
                'Slots': 'x',
            }
        ),
        report_document(born='yesterday'),
    ],
)
def test_foreign_heartbeat_names_no_target(body: bytes) -> None:
    """A report in another writer's format is refused and harms no target."""
    with pytest.raises(WireError):
        ADAPTER.decode_target_call(put(body))


@pytest.mark.parametrize('seed', range(20))
def test_changed_documents_raise_typed_errors_only(seed: int) -> None:
    """For any bytes the decoders raise only typed errors."""
    chance = random.Random(seed)

    def decode_report(body: bytes) -> object:
        return ADAPTER.decode_target_call(put(body))

    for document, decode in (
        (settings_document(), decode_settings),
        (config_document(route_resource('r')), ADAPTER.decode_configuration),
        (report_document(), decode_report),
    ):
        for _ in range(50):
            changed = bytearray(document)
            for _ in range(chance.randint(1, 4)):
                changed[chance.randrange(len(changed))] = chance.randrange(256)
            cut = bytes(changed[: chance.randint(0, len(changed))])
            try:
                decode(cut)
            except BoragetrestleError as error:
                assert str(error)


def test_settings_are_checked_by_the_program(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The check exits with 3 for missing settings and 0 for valid ones."""
    path = tmp_path / 'boot.json'
    monkeypatch.setenv('BORAGETRESTLE_SETTINGS', str(path))
    assert run_program(ADAPTER, ['check']) == 3
    path.write_bytes(settings_document())
    assert run_program(ADAPTER, ['check']) == 0


def test_metadata_may_be_missing() -> None:
    """Limits have no name in their metadata."""
    limits = {
        'MaxHeaderBytes': 100,
        'MaxBodyBytes': 200,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    }
    document = json.dumps({
        'Version': 1,
        'Resources': [
            {'ResourceType': 'Limits', 'Metadata': {}, 'Spec': limits},
        ],
    })
    found = ADAPTER.decode_configuration(document.encode())
    assert found.limits.idle_seconds == 15
