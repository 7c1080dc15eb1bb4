"""Parse and validate the services text, which operators edit."""

from collections import Counter
from collections.abc import Callable, Iterable
from graphlib import CycleError, TopologicalSorter
from typing import TypeVar

from boragetrestle_kernel.errors import TextError
from boragetrestle_kernel.json_fault import (
    JsonFault,
    JsonFaultError,
    decode_checked,
)
from boragetrestle_kernel.service_text import Route, ServiceText

MAX_TEXT_BYTES = 1_048_576
MAX_CHAIN_SERVICES = 32

_REMEDY = "correct it; 'boragetrestle check --schema' prints the JSON Schema"

RelationCheck = Callable[[ServiceText], None]
_CHECKS: list[RelationCheck] = []
_Check = TypeVar('_Check', bound=RelationCheck)


def parse_text(raw: bytes) -> ServiceText:
    """Parse and check a services text.

    Raises ``TextError`` for the first wrong field, with its JSON path, what was
    found and what is expected.

    >>> parse_text(b'{"servicess": []}')
    Traceback (most recent call last):
        ...
    boragetrestle_kernel.errors.TextError: $.servicess: found an unknown \
field, expected no such field; correct it; 'boragetrestle check --schema' \
prints the JSON Schema
    """
    if len(raw) > MAX_TEXT_BYTES:
        raise _text_error(
            '$',
            f'a text of {len(raw)} bytes',
            f'at most {MAX_TEXT_BYTES} bytes',
        )
    try:
        text = decode_checked(raw, ServiceText)
    except JsonFaultError as error:
        raise TextError(str(error), remedy=_REMEDY) from error
    check_relations(text)
    return text


def check_relations(text: ServiceText) -> None:
    """Raise ``TextError`` if fields contradict each other."""
    for check in _CHECKS:
        check(text)


def _register_check(check: _Check) -> _Check:
    _CHECKS.append(check)
    return check


@_register_check
def _check_names(text: ServiceText) -> None:
    _check_unique('$.services', (srv.name for srv in text.services))
    _check_unique('$.organisations', (org.name for org in text.organisations))
    for service_index, service in enumerate(text.services):
        where = f'$.services[{service_index}]'
        routes = (f'{rt.method} {rt.path}' for rt in service.routes)
        _check_unique(f'{where}.routes', routes)
        _check_unique(
            f'{where}.depends_on',
            (dependency.service for dependency in service.depends_on),
        )


@_register_check
def _check_paths(text: ServiceText) -> None:
    for service_index, service in enumerate(text.services):
        for route_index, route in enumerate(service.routes):
            _check_path(
                f'$.services[{service_index}].routes[{route_index}].path', route
            )


@_register_check
def _check_dependencies(text: ServiceText) -> None:
    names = {srv.name for srv in text.services}
    for service_index, service in enumerate(text.services):
        for index, dependency in enumerate(service.depends_on):
            if dependency.service not in names:
                raise _text_error(
                    f'$.services[{service_index}].depends_on[{index}].service',
                    repr(dependency.service),
                    'the name of a service of this text',
                )


@_register_check
def _check_alternatives(text: ServiceText) -> None:
    for service_index, service in enumerate(text.services):
        groups = Counter(
            dependency.alternative
            for dependency in service.depends_on
            if dependency.alternative
        )
        for group, count in groups.items():
            if count == 1:
                raise _text_error(
                    f'$.services[{service_index}].depends_on',
                    f'one service in the alternative group {group!r}',
                    'at least two services that replace each other',
                )


@_register_check
def _check_acyclic(text: ServiceText) -> None:
    try:
        TopologicalSorter(_dependency_graph(text)).prepare()
    except CycleError as error:
        cycle = ' -> '.join(error.args[1])
        raise _text_error(
            '$.services',
            f'the cycle {cycle}',
            'dependencies without a cycle',
        ) from error


@_register_check
def _check_chains(text: ServiceText) -> None:
    """Raise ``TextError`` for a chain that is too long.

    Runs after the check for cycles. Visits each service after its dependencies
    instead of recursing, so that a long chain does not exhaust the stack.
    """
    graph = _dependency_graph(text)
    lengths: dict[str, int] = {}
    for name in TopologicalSorter(graph).static_order():
        dependency_lengths = (lengths[dependency] for dependency in graph[name])
        lengths[name] = 1 + max(dependency_lengths, default=0)
        if lengths[name] > MAX_CHAIN_SERVICES:
            raise _text_error(
                '$.services',
                f'a chain of {lengths[name]} services from {name!r}',
                f'chains of at most {MAX_CHAIN_SERVICES} services',
            )


def _dependency_graph(text: ServiceText) -> dict[str, set[str]]:
    return {
        srv.name: {dep.service for dep in srv.depends_on}
        for srv in text.services
    }


def _check_path(where: str, route: Route) -> None:
    segments = route.path.removeprefix('/').split('/')
    if segments == ['']:
        return
    for position, segment in enumerate(segments):
        is_last = position == len(segments) - 1
        if segment == '**' and is_last or segment == '*':
            continue
        if segment in {'', '.', '..'} or '*' in segment or '?' in segment:
            raise _text_error(
                where,
                repr(route.path),
                "segments that are literal, '*', or '**' at the end",
            )


def _check_unique(where: str, names: Iterable[str]) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise _text_error(
                where,
                f'{name!r} {count} times',
                'each name once',
            )


def _text_error(path: str, found: str, expected: str) -> TextError:
    return TextError(str(JsonFault(path, found, expected)), remedy=_REMEDY)
