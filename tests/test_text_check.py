"""Errors of texts and settings name the JSON path, found and expected."""

import json

import msgspec
import pytest
from builders import running_fleet, service_text
from hypothesis import given
from hypothesis import strategies as st

from boragetrestle.schema import SCHEMAS, generate_schema, shipped_schema
from boragetrestle_kernel.errors import SettingsError, TextError
from boragetrestle_kernel.settings import parse_settings
from boragetrestle_kernel.text_check import (
    MAX_CHAIN_SERVICES,
    MAX_TEXT_BYTES,
    parse_text,
)
from boragetrestle_standin.host_plan import HostPlan


def _service(name, *depends_on, **changes):
    dependencies = [
        {'service': other} if isinstance(other, str) else other
        for other in depends_on
    ]
    return {
        'name': name,
        'routes': [{'method': 'GET', 'path': '/items/*'}],
        'depends_on': dependencies,
        **changes,
    }


def _text(*services, **changes):
    return {'services': services, **changes}


def _organisation(**changes):
    return {'name': 'acacia', 'rate': 1, 'burst': 1, **changes}


_TWO_PATHS = [{'method': 'GET', 'path': '/a'}] * 2
_CHAIN = [
    _service(f's{place}', *([f's{place + 1}'] if place < 40 else []))
    for place in range(41)
]
_FAULTS = {
    'unknown field': (
        _text(_service('a', retries=3)),
        '$.services[0].retries: found an unknown field',
    ),
    'missing field': (
        _text({'name': 'a'}),
        '$.services[0].routes: found nothing, expected a value',
    ),
    'wrong type': (
        _text(_service('a', routes=3)),
        '$.services[0].routes: found 3, expected `array`',
    ),
    'rate out of range': (
        _text(_service('a'), organisations=[_organisation(rate=0)]),
        '$.organisations[0].rate: found 0, expected `float` > 0.0',
    ),
    'burst out of range': (
        _text(_service('a'), organisations=[_organisation(burst=1e9)]),
        '$.organisations[0].burst: found 1000000000.0, expected `float` <=',
    ),
    'duplicate service': (
        _text(_service('a'), _service('a')),
        "$.services: found 'a' 2 times, expected each name once",
    ),
    'duplicate organisation': (
        _text(organisations=[_organisation()] * 2),
        "$.organisations: found 'acacia' 2 times",
    ),
    'duplicate route': (
        _text(_service('a', routes=_TWO_PATHS)),
        "$.services[0].routes: found 'GET /a' 2 times",
    ),
    'duplicate dependency': (
        _text(_service('a', 'b', 'b'), _service('b')),
        "$.services[0].depends_on: found 'b' 2 times",
    ),
    'dangling dependency': (
        _text(_service('a', 'b')),
        "$.services[0].depends_on[0].service: found 'b', expected the name",
    ),
    'cycle': (
        _text(_service('a', 'b'), _service('b', 'a')),
        '$.services: found the cycle ',
    ),
    'self dependency': (
        _text(_service('a', 'a')),
        '$.services: found the cycle a -> a',
    ),
    'alternative of one': (
        _text(
            _service('a', {'service': 'b', 'alternative': 'x'}), _service('b')
        ),
        '$.services[0].depends_on: found one service in the alternative group',
    ),
    'long chain': (
        _text(*_CHAIN),
        f'expected chains of at most {MAX_CHAIN_SERVICES} services',
    ),
    'pattern within a path': (
        _text(_service('a', routes=[{'method': 'GET', 'path': '/a*/b'}])),
        "$.services[0].routes[0].path: found '/a*/b'",
    ),
}


@pytest.mark.parametrize('fault', _FAULTS)
def test_fault_names_path_found_and_expected(fault):
    text, shown = _FAULTS[fault]
    with pytest.raises(TextError) as caught:
        parse_text(json.dumps(text).encode())
    assert shown in str(caught.value)


def test_large_broken_and_doubled_texts_are_refused():
    cases = {
        b' ' * (MAX_TEXT_BYTES + 1): 'at most 1048576 bytes',
        b'{': 'found no JSON',
        b'[' * 100_000: 'found no JSON',
        b'\xff': 'found no JSON',
        b'{"services": [], "services": []}': "found 'services' twice",
    }
    for raw, shown in cases.items():
        with pytest.raises(TextError) as caught:
            parse_text(raw)
        assert shown in str(caught.value)


@pytest.mark.parametrize('name', SCHEMAS)
def test_shipped_schema_is_current(name):
    assert shipped_schema(name) == generate_schema(name)


async def test_refused_text_changes_nothing(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        before = await run.operator.state()
        with pytest.raises(TextError):
            parse_text(b'{"services": [{}]}')
        after = await run.operator.state()
    assert (after.version, after.text) == (before.version, service_text())


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(['services', 'name', 'routes', 'path', 'x']),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
_SETTINGS = {
    'node': 'n',
    'domain': 'a',
    'listen': {
        'calls': '1.1.1.1:1',
        'peers': '1.1.1.1:2',
        'admin': '1.1.1.1:3',
    },
    'platform': {'adapter': 'embedded'},
    'fleet_secrets': [{'env': 'X'}],
}


@given(
    st.binary(max_size=200) | _JSON.map(lambda tree: json.dumps(tree).encode())
)
def test_any_text_is_parsed_or_refused(raw):
    try:
        parse_text(raw)
    except TextError as error:
        assert 'expected' in str(error)


@given(st.sampled_from(sorted(_SETTINGS)), _JSON)
def test_any_settings_are_parsed_or_refused(field, content):
    raw = json.dumps({**_SETTINGS, field: content}).encode()
    try:
        parse_settings(raw)
    except SettingsError as error:
        assert '$' in str(error)


def test_settings_name_the_wrong_field():
    wrong = {**_SETTINGS, 'drain_timeout': 0}
    with pytest.raises(SettingsError, match=r'\$.drain_timeout: found 0'):
        parse_settings(msgspec.json.encode(wrong))
