"""Tell where JSON departs from its schema, what was found and expected."""

import json
import re
from typing import Any, NamedTuple, TypeVar

import msgspec

_Checked = TypeVar('_Checked')

_SHOWN_CHARACTERS = 60
_MESSAGE = re.compile('(?P<what>.*?)(?: - at `(?P<path>.*)`)?', re.DOTALL)
_UNKNOWN = re.compile('Object contains unknown field `(?P<name>.*)`')
_MISSING = re.compile('Object missing required field `(?P<name>.*)`')
_STEP = re.compile(r'\.([^.\[]+)|\[(\d+)\]')


class JsonFault(NamedTuple):
    """A wrong place in a JSON document.

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
    """Carry the first fault of a document."""

    def __init__(self, fault: JsonFault) -> None:
        super().__init__(str(fault))
        self.fault = fault


def decode_checked(raw: bytes, kind: type[_Checked]) -> _Checked:
    """Decode JSON; raise ``JsonFaultError`` for its first fault.

    >>> decode_checked(b'[1, "x"]', list[int])
    Traceback (most recent call last):
        ...
    boragetrestle_kernel.json_fault.JsonFaultError: $[1]: found "x", expected \
`int`, got `str`
    """
    try:
        loaded = json.loads(raw, object_pairs_hook=_without_duplicates)
    except (ValueError, RecursionError) as error:
        if isinstance(error, JsonFaultError):
            raise
        fault = JsonFault('$', f'no JSON ({error})', 'a JSON object')
        raise JsonFaultError(fault) from error
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise JsonFaultError(_fault_of(str(error), loaded)) from error


def _without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, content in pairs:
        if name in found:
            fault = JsonFault('$', f'{name!r} twice in one object', 'one')
            raise JsonFaultError(fault)
        found[name] = content
    return found


def _fault_of(message: str, loaded: Any) -> JsonFault:
    parts = _MESSAGE.fullmatch(message)
    assert parts is not None
    path = parts['path'] or '$'
    what = parts['what']
    unknown = _UNKNOWN.fullmatch(what)
    if unknown is not None:
        where = f'{path}.{unknown["name"]}'
        return JsonFault(where, 'an unknown field', 'no such field')
    missing = _MISSING.fullmatch(what)
    if missing is not None:
        return JsonFault(f'{path}.{missing["name"]}', 'nothing', 'a value')
    expected = what.removeprefix('Expected ')
    return JsonFault(path, _show(_look_up(loaded, path)), expected)


def _look_up(loaded: Any, path: str) -> Any:
    found = loaded
    for name, place in _STEP.findall(path):
        try:
            found = found[int(place)] if place else found[name]
        except (LookupError, TypeError):
            return found
    return found


def _show(found: Any) -> str:
    shown = json.dumps(found)
    if len(shown) <= _SHOWN_CHARACTERS:
        return shown
    return f'{shown[:_SHOWN_CHARACTERS]}...'
