"""Messages between nodes, with the registry of their kinds."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from boragetrestle_kernel.codec import decode, encode
from boragetrestle_kernel.errors import WireError
from boragetrestle_kernel.hybrid_clock import Stamp

MESSAGE_KINDS: dict[str, type] = {}
_KIND_OF: dict[type, str] = {}

_Message = TypeVar('_Message', bound=type)


def peer_message(kind: str) -> Callable[[_Message], _Message]:
    """Register a struct as a message between nodes.

    >>> @peer_message('doc-example')
    ... class Example(msgspec.Struct, frozen=True):
    ...     count: int
    >>> unpack(pack(Example(2), number=0, stamp=Stamp(1, 0))).message
    Example(count=2)
    """

    def register(message: _Message) -> _Message:
        MESSAGE_KINDS[kind] = message
        _KIND_OF[message] = kind
        return message

    return register


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message on the wire.

    ``number`` links a reply to its question; 0 asks for none. ``micros`` and
    ``counter`` are the sender's hybrid stamp.
    """

    kind: str
    body: Any
    number: int
    is_reply: bool
    micros: int
    counter: int


class Received(msgspec.Struct, frozen=True):
    """A message taken out of its envelope."""

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
    """Return the bytes of a message in its envelope."""
    envelope = Envelope(
        kind=_KIND_OF[type(message)],
        body=message,
        number=number,
        is_reply=is_reply,
        micros=stamp.micros,
        counter=stamp.counter,
    )
    return encode(envelope)


def unpack(raw: bytes) -> Received:
    """Return the message; raise ``WireError`` for a wrong kind or shape."""
    envelope = decode(raw, Envelope)
    kind = MESSAGE_KINDS.get(envelope.kind)
    if kind is None:
        raise WireError(f'{envelope.kind!r} is no kind of message')
    try:
        message: Any = msgspec.convert(
            envelope.body,
            type=kind,
            builtin_types=(bytes,),
        )
    except msgspec.ValidationError as error:
        raise WireError(f'{envelope.kind}: {error}') from error
    return Received(
        message=message,
        number=envelope.number,
        is_reply=envelope.is_reply,
        stamp=(envelope.micros, envelope.counter),
    )
