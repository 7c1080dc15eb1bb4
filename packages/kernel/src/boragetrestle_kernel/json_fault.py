"""Decode JSON and report the first place that breaks its schema."""

import json
import re
from typing import Any, NamedTuple, TypeVar

import msgspec

_Document = TypeVar('_Document')

_MAX_SHOWN_CHARACTERS = 60
_MESSAGE = re.compile('(?P<problem>.*?)(?: - at `(?P<path>.*)`)?', re.DOTALL)
_UNKNOWN = re.compile('Object contains unknown field `(?P<name>.*)`')
_MISSING = re.compile('Object missing required field `(?P<name>.*)`')
_PATH_STEP = re.compile(r'\.([^.\[]+)|\[(\d+)\]')


class JsonFault(NamedTuple):
    """A place in a JSON document that does not match the schema.

    >>> str(JsonFault('$.rate', '0', 'a number > 0'))
    '$.rate: found 0, expected a number > 0'
    """

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        """Return the path, what was found and what is expected."""
        return f'{self.path}: found {self.found}, expected {self.expected}'


class JsonFaultError(ValueError):
    """Report the first fault of a JSON document."""

    def __init__(self, fault: JsonFault) -> None:
        super().__init__(str(fault))
        self.fault = fault


def decode_checked(raw: bytes, document_type: type[_Document]) -> _Document:
    """Decode JSON; raise ``JsonFaultError`` for its first fault.

    >>> decode_checked(b'[1, "x"]', list[int])
    Traceback (most recent call last):
        ...
    boragetrestle_kernel.json_fault.JsonFaultError: $[1]: found "x", expected \
`int`, got `str`
    """
    try:
        loaded = json.loads(raw, object_pairs_hook=_reject_duplicate_names)
    except (ValueError, RecursionError) as error:
        if isinstance(error, JsonFaultError):
            raise
        fault = JsonFault('$', f'no JSON ({error})', 'a JSON object')
        raise JsonFaultError(fault) from error
    try:
        return msgspec.json.decode(raw, type=document_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise JsonFaultError(_parse_fault(str(error), loaded)) from error


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, content in pairs:
        if name in found:
            fault = JsonFault('$', f'{name!r} twice in one object', 'one')
            raise JsonFaultError(fault)
        found[name] = content
    return found


def _parse_fault(message: str, loaded: Any) -> JsonFault:
    parts = _MESSAGE.fullmatch(message)
    assert parts is not None
    path = parts['path'] or '$'
    problem = parts['problem']
    unknown = _UNKNOWN.fullmatch(problem)
    if unknown is not None:
        where = f'{path}.{unknown["name"]}'
        return JsonFault(where, 'an unknown field', 'no such field')
    missing = _MISSING.fullmatch(problem)
    if missing is not None:
        return JsonFault(f'{path}.{missing["name"]}', 'nothing', 'a value')
    expected = problem.removeprefix('Expected ')
    return JsonFault(path, _shorten_json(_find_at_path(loaded, path)), expected)


def _find_at_path(loaded: Any, path: str) -> Any:
    found = loaded
    for name, index in _PATH_STEP.findall(path):
        try:
            found = found[int(index)] if index else found[name]
        except (LookupError, TypeError):
            return found
    return found


def _shorten_json(found: Any) -> str:
    shown = json.dumps(found)
    if len(shown) <= _MAX_SHOWN_CHARACTERS:
        return shown
    return f'{shown[:_MAX_SHOWN_CHARACTERS]}...'
