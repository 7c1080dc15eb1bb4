"""Messages between nodes: length-prefixed CBOR arrays of typed fields."""

from enum import IntEnum
from struct import Struct
from typing import Any, NamedTuple

import cbor2

from boragetrestle_kernel.errors import WireError

_LENGTH = Struct('>I')
MAX_FRAME_BYTES = 80_000_000  # a body of the largest size, with its head


class FrameKind(IntEnum):
    """What a frame holds; the fields follow in the order of their type."""

    HELLO = 0
    RUN = 1
    CANCEL = 2
    OUTCOME = 3
    STATUS = 4
    CONFIGURATION = 5
    ASK_TOKENS = 6
    GRANT_TOKENS = 7
    SUSPECT = 8
    PING = 9
    ASK_CONFIGURATION = 10
    PONG = 11


class Frame(NamedTuple):
    """One message; ``number`` pairs an answer with its question."""

    kind: FrameKind
    number: int
    fields: list[Any]


def encode_frame(kind: FrameKind, number: int, fields: object) -> bytes:
    """Return the bytes of a frame.

    >>> encode_frame(FrameKind.CANCEL, 7, ()).hex()
    '0000000483020780'
    """
    payload = cbor2.dumps((int(kind), number, fields))
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Cut a stream of bytes into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, received: bytes) -> list[Frame]:
        """Return the frames that are whole; raise ``WireError`` for others."""
        self.buffer += received
        frames: list[Frame] = []
        start = 0
        buffer = self.buffer
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise WireError(
                    f'a frame of {length} bytes is over the bound',
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
        return Frame(FrameKind(kind), number, fields)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise WireError(
            'a frame between nodes is not valid',
            remedy='run the same version on all nodes',
        ) from error
