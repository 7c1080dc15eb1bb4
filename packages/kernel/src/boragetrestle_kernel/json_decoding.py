"""Decode JSON that other programs wrote."""

from typing import TypeVar

import msgspec

_Document = TypeVar('_Document')


def decode_json(
    document: bytes | msgspec.Raw,
    kind: type[_Document],
) -> _Document:
    """Return a JSON document as a type of msgspec.

    Raises ``msgspec.DecodeError`` for any document that is not of the type, also
    for one that is nested too deeply, for which msgspec raises
    ``RecursionError``.

    >>> decode_json(b'[1, 2]', list[int])
    [1, 2]
    >>> decode_json(b'[' * 100_000, list[int])
    Traceback (most recent call last):
        ...
    msgspec.ValidationError: Expected `int`, got `array` - at `$[0]`
    """
    try:
        return msgspec.json.decode(document, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError(
            'the document is nested too deeply'
        ) from error
