"""Messages between nodes: length-prefixed CBOR arrays of typed fields."""

from enum import IntEnum
from operator import index
from struct import Struct
from typing import Any, NamedTuple, TypeVar

import cbor2
import msgspec

from boragetrestle_kernel.errors import WireError

_LENGTH = Struct('>I')
_Fields = TypeVar('_Fields')
# A body of the largest size with its header fields.
MAX_FRAME_BYTES = 80_000_000


class FrameKind(IntEnum):
    """The kind of a message; its fields follow in the order of their type."""

    HELLO = 0
    RUN = 1
    CANCEL = 2
    OUTCOME = 3
    LOAD = 4
    CONFIGURATION = 5
    ASK_TOKENS = 6
    GRANT_TOKENS = 7
    SUSPECT = 8
    PING = 9
    ASK_CONFIGURATION = 10
    PONG = 11
    TREE_LOAD = 12
    TREE_TOTAL = 13
    ROWS = 14
    EVACUATIONS = 15


class Frame(NamedTuple):
    """One message; ``number`` pairs an answer with its request."""

    kind: FrameKind
    number: int
    fields: list[Any]


def encode_frame(kind: FrameKind, number: int, fields: object) -> bytes:
    """Return a frame in its wire format.

    >>> encode_frame(FrameKind.CANCEL, 7, ()).hex()
    '0000000483020780'
    """
    payload = cbor2.dumps((int(kind), number, fields))
    return _LENGTH.pack(len(payload)) + payload


def decode_fields(frame: Frame, kind: type[_Fields]) -> _Fields:
    """Return the fields of a frame as a named tuple with checked types.

    Raises ``WireError`` for fields that do not match the type.
    """
    try:
        return msgspec.convert(frame.fields, kind)
    except msgspec.ValidationError as error:
        raise WireError(
            f'a {frame.kind.name} frame from a peer has invalid fields: '
            f'{error}',
            remedy='run the same version on all nodes',
        ) from error


class FrameReader:
    """Split a stream of bytes into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, received: bytes) -> list[Frame]:
        """Return the frames that are complete with the received bytes.

        Raises ``WireError`` for a frame that is too long or invalid.
        """
        self.buffer += received
        frames: list[Frame] = []
        start = 0
        buffer = self.buffer
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise WireError(
                    f'a frame of {length} bytes from a peer is too long',
                    remedy='check that only nodes connect to the peer address',
                )
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            frames.append(_decode(bytes(buffer[start + _LENGTH.size : end])))
            start = end
        del buffer[:start]
        return frames


def _decode(payload: bytes) -> Frame:
    try:
        kind, number, fields = cbor2.loads(payload)
        return Frame(FrameKind(kind), index(number), fields)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise WireError(
            'a frame from a peer cannot be decoded',
            remedy='run the same version on all nodes',
        ) from error
