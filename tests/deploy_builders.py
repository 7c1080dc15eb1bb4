"""Builders of documents as the users' platform sends them."""

import json
from typing import Any


def settings_document(**changes: Any) -> bytes:
    """Return a settings file, with fields changed by name."""
    known: dict[str, Any] = {
        'NodeName': 'sidecar-a-1',
        'Zone': 'a',
        'ListenAddrs': {
            'Inbound': '10.1.0.2:8543',
            'Outbound': '10.1.0.2:8548',
            'Ready': '10.1.0.2:8546',
            'Control': '10.1.0.2:8540',
        },
        'HeartbeatMs': 1500,
        'Bounds': {'GraceS': 6, 'RetryBudgetRatio': 0.2, 'StrictRevoke': False},
        'AppAddr': '10.1.0.2:8547',
        'Service': 'walks',
        'Provider': {'Address': '10.2.0.1:8545', 'form': 'table'},
        'NewField': [1],
    }
    return json.dumps({**known, **changes}).encode()


def route_resource(name: str, **changes: Any) -> dict[str, Any]:
    """Return a route resource, with fields changed by name."""
    known: dict[str, Any] = {
        'Host': 'example',
        'Prefix': '/walks/',
        'Kind': 'idempotent',
        'TimeoutMs': 800,
        'TargetLatencyMs': 1500,
        'Priority': 2,
        'Service': 'walks',
        'MaxAttempts': 2,
        'Public': False,
    }
    return resource('Routes', name, {**known, **changes})


def resource(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    """Return one resource of a configuration document."""
    return {'ResourceType': kind, 'Metadata': {'Name': name}, 'Spec': spec}


def config_document(*resources: dict[str, Any], version: int = 7) -> bytes:
    """Return a configuration document."""
    return json.dumps({
        'Version': version,
        'BaseVersion': 5,
        'Resources': resources,
    }).encode()


def report_document(**changes: Any) -> bytes:
    """Return a target's report, with fields changed by name."""
    known: dict[str, Any] = {
        'Address': '10.1.0.2:8547',
        'Info': {'Service': 'walks', 'Version': 'v1', 'Zone': 'a', 'Slots': 8},
        'Status': {'State': 'ready', 'Sequence': 4, 'ColdRemainingMs': 500},
        'born': 1782542843000,
    }
    return json.dumps({**known, **changes}).encode()
