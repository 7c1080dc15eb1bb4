"""CBOR encoding of typed messages."""

from typing import Any, TypeVar

import cbor2
import msgspec

from boragetrestle_kernel.errors import WireError

_Message = TypeVar('_Message')


def encode(message: Any) -> bytes:
    """Return the CBOR form of a typed message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(raw: bytes, kind: type[_Message]) -> _Message:
    """Return the typed message; raise ``WireError`` if it does not match.

    >>> from boragetrestle_kernel.context import CallContext
    >>> decode(b'garbage', CallContext)
    Traceback (most recent call last):
        ...
    boragetrestle_kernel.errors.WireError: the message is not valid CBOR
    """
    try:
        loaded = cbor2.loads(raw)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise WireError('the message is not valid CBOR') from error
    try:
        return msgspec.convert(loaded, type=kind, builtin_types=(bytes,))
    except (msgspec.ValidationError, RecursionError) as error:
        raise WireError(f'the message has a wrong shape: {error}') from error
