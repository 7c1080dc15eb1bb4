"""Read values that a newer build has written with further fields.

Named tuples travel as arrays, and a newer build adds fields at the end.
"""

from collections.abc import Callable
from functools import cache, partial
from types import NoneType
from typing import Any, TypeVar, cast, get_args, get_origin, get_type_hints

import msgspec

_Value = TypeVar('_Value')
_Trim = Callable[[Any], Any]


def convert_known(value: Any, kind: type[_Value]) -> _Value:
    """Return decoded CBOR or JSON as a type; pass over further fields.

    Further fields are looked for only in a value that does not fit, so others
    cost nothing more. Raises ``msgspec.ValidationError`` for a value that does
    not match the type without them.

    >>> from boragetrestle_sidecar.returning_slots import ReturningSlots
    >>> convert_known([20.0, 2.5, 'further'], ReturningSlots)
    ReturningSlots(slots=20.0, seconds=2.5)
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError:
        trim = _trim_of(cast('Any', kind))
        if trim is None:
            raise
        return msgspec.convert(trim(value), kind)


@cache
def _trim_of(kind: Any) -> _Trim | None:
    """Return what drops further fields, or None for a type without fields."""
    if hasattr(kind, '_fields'):
        return _trim_of_fields(kind)
    arms = [arm for arm in get_args(kind) if arm is not NoneType]
    trims = [trim for trim in map(_trim_of, arms) if trim is not None]
    if not trims:
        return None
    (trim_inner,) = trims
    trim_container = _CONTAINERS.get(get_origin(kind))
    if trim_container is None:
        return trim_inner
    return partial(trim_container, trim_inner)


def _trim_of_fields(kind: Any) -> _Trim:
    hints = get_type_hints(kind)
    trims = [_trim_of(hints[name]) for name in kind._fields]
    nested = [(place, trim) for place, trim in enumerate(trims) if trim]
    count = len(trims)

    def trim_fields(value: Any) -> Any:
        if not isinstance(value, list):
            return value
        known = value[:count]
        for place, trim in nested:
            if place < len(known):
                known[place] = trim(known[place])
        return known

    return trim_fields


def _trim_items(trim: _Trim, value: Any) -> Any:
    return list(map(trim, value)) if isinstance(value, list) else value


def _trim_values(trim: _Trim, value: Any) -> Any:
    if not isinstance(value, dict):
        return value
    return {key: trim(item) for key, item in value.items()}


_CONTAINERS: dict[Any, Callable[[_Trim, Any], Any]] = {
    list: _trim_items,
    tuple: _trim_items,
    dict: _trim_values,
}
