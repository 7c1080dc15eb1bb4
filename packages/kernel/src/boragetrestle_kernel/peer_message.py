"""Encoding of messages between nodes, and the registry of their kinds."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from boragetrestle_kernel.codec import decode, encode
from boragetrestle_kernel.errors import WireError
from boragetrestle_kernel.hybrid_clock import Stamp

MESSAGE_KINDS: dict[str, type] = {}
_KINDS_BY_TYPE: dict[type, str] = {}

_Message = TypeVar('_Message', bound=type)


def peer_message(kind: str) -> Callable[[_Message], _Message]:
    """Register a struct as the message of a kind.

    >>> @peer_message('doc-example')
    ... class Example(msgspec.Struct, frozen=True):
    ...     count: int
    >>> unpack(pack(Example(2), number=0, stamp=Stamp(1, 0))).message
    Example(count=2)
    """

    def register(message: _Message) -> _Message:
        MESSAGE_KINDS[kind] = message
        _KINDS_BY_TYPE[message] = kind
        return message

    return register


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message on the wire.

    ``number`` is the correlation id of a request and its reply, 0 if no reply
    is expected. ``micros`` and ``counter`` are the time stamp of the sender's
    hybrid logical clock.
    """

    kind: str
    body: Any
    number: int
    is_reply: bool
    micros: int
    counter: int


class Received(msgspec.Struct, frozen=True):
    """A decoded message with the fields of its envelope."""

    message: Any
    number: int
    is_reply: bool
    stamp: tuple[int, int]


def pack(
    message: Any,
    *,
    number: int,
    stamp: Stamp,
    is_reply: bool = False,
) -> bytes:
    """Encode a message in its envelope."""
    envelope = Envelope(
        kind=_KINDS_BY_TYPE[type(message)],
        body=message,
        number=number,
        is_reply=is_reply,
        micros=stamp.micros,
        counter=stamp.counter,
    )
    return encode(envelope)


def unpack(raw: bytes) -> Received:
    """Decode a message; raise ``WireError`` if kind or fields are wrong."""
    envelope = decode(raw, Envelope)
    kind = MESSAGE_KINDS.get(envelope.kind)
    if kind is None:
        raise WireError(f'unknown kind of peer message: {envelope.kind!r}')
    try:
        message: Any = msgspec.convert(
            envelope.body,
            type=kind,
            builtin_types=(bytes,),
        )
    except msgspec.ValidationError as error:
        raise WireError(
            f'invalid body of peer message {envelope.kind}: {error}',
        ) from error
    return Received(
        message=message,
        number=envelope.number,
        is_reply=envelope.is_reply,
        stamp=(envelope.micros, envelope.counter),
    )
