"""Messages between nodes: length-prefixed CBOR arrays of typed fields."""

from enum import IntEnum
from io import BytesIO
from operator import index
from struct import Struct
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

import cbor2
import msgspec

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.body_budget import LARGE_BODY_BYTES
from boragetrestle_sidecar.known_fields import convert_known

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragetrestle_sidecar.outcome import Outcome
    from boragetrestle_sidecar.run_buffers import RunBuffers
    from boragetrestle_sidecar.run_order import RunOrder

_LENGTH = Struct('>I')
_BYTES_HEAD = Struct('>BI')
# CBOR: an array of few items, a byte string with a length of four bytes, and an
# empty byte string.
_ARRAY = 0x80
_LONG_BYTES = 0x5A
_NO_BYTES = b'\x40'
_MAX_HEAD_BYTES = 16  # the start of the array, kind and number
_Fields = TypeVar('_Fields')
# Nodes of one version write the same kinds of frames with the same fields. Each
# end of a connection states its own as the number of its HELLO or PONG.
FRAMES_VERSION = 1
# A body of the largest size with its header fields.
MAX_FRAME_BYTES = 80_000_000
# A greeting with all evacuated domains takes some kilobytes.
MAX_GREETING_BYTES = 1_000_000


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


# How the payload of a run begins.
_RUN_START = bytes((_ARRAY + 3, FrameKind.RUN))
# The longest number that follows, and where it ends.
_MAX_NUMBER = 9
_MAX_NUMBER_END = len(_RUN_START) + _MAX_NUMBER


class Frame(NamedTuple):
    """One message; ``number`` pairs an answer with its request.

    A large body of a run is kept apart as ``body``, a view of what was received,
    and is empty in ``fields``. One that does not fit into the memory
    ``is_refused``: it is not received, and has no fields.
    """

    kind: FrameKind
    number: int
    fields: list[Any]
    body: bytes | memoryview = b''
    is_refused: bool = False


def encode_frame(kind: FrameKind, number: int, fields: object) -> bytes:
    """Return a frame in its wire format.

    >>> encode_frame(FrameKind.CANCEL, 7, ()).hex()
    '0000000483020780'
    """
    payload = cbor2.dumps((int(kind), number, fields))
    return _LENGTH.pack(len(payload)) + payload


def encode_parts(
    kind: FrameKind,
    number: int,
    fields: 'RunOrder | Outcome',
) -> list[bytes]:
    """Return a frame with a large body in parts, the body not copied.

    Joined they are what ``encode_frame`` returns.
    """
    place = fields.index(fields.body)
    before = b''.join((
        bytes((_ARRAY + 3,)),
        cbor2.dumps(int(kind)),
        cbor2.dumps(number),
        bytes((_ARRAY + len(fields),)),
        *map(cbor2.dumps, fields[:place]),
        _BYTES_HEAD.pack(_LONG_BYTES, len(fields.body)),
    ))
    after = b''.join(map(cbor2.dumps, fields[place + 1 :]))
    length = len(before) + len(fields.body) + len(after)
    return [_LENGTH.pack(length) + before, fields.body, after]


def decode_fields(frame: Frame, kind: type[_Fields]) -> _Fields:
    """Return the fields of a frame as a named tuple with checked types.

    Further fields of a newer build are passed over, at every level. Raises ``WireError`` for fields that do not match the type.
    """
    try:
        return convert_known(frame.fields, kind)
    except msgspec.ValidationError as error:
        raise WireError(
            f'a {frame.kind.name} frame from a peer has invalid fields: '
            f'{error}',
            remedy='run the same version on all nodes',
        ) from error


class FrameReader:
    """Split a stream of bytes into frames.

    ``max_first_bytes`` bounds the first frame, so that a program that is no
    peer cannot fill the memory. ``buffers`` bounds what large runs hold,
    ``counted`` is the size of the one that is being received, and ``skipped``
    how much of a frame that was given up is to come.
    """

    def __init__(
        self,
        max_first_bytes: int = MAX_FRAME_BYTES,
        buffers: 'RunBuffers | None' = None,
    ) -> None:
        self.max_bytes = max_first_bytes
        self.buffers = buffers
        self.buffer = bytearray()
        self.counted = 0
        self.skipped = 0

    def feed(self, received: bytes) -> list[Frame]:
        """Return the frames that are complete with the received bytes.

        Raises ``WireError`` for a frame that is too long or invalid.
        """
        if self.skipped:
            received = self._skip(received)
        self.buffer += received
        frames: list[Frame] = []
        start = 0
        while len(self.buffer) - start >= _LENGTH.size:
            length = self._length_at(start)
            begin = start + _LENGTH.size
            end = begin + length
            if length > LARGE_BODY_BYTES and self._refuses(begin, length):
                frames.append(self._refuse(begin, end))
                start = 0
            elif len(self.buffer) < end:
                break
            elif length > LARGE_BODY_BYTES:
                frames.append(_decode_large(self._detach(begin, end)))
                start = 0
            else:
                frames.append(_decode(bytes(self.buffer[begin:end])))
                start = end
            self.max_bytes = MAX_FRAME_BYTES
        del self.buffer[:start]
        return frames

    def partial_bytes(self, kind: FrameKind) -> int:
        """Return how much is held of a frame of a kind that is not complete."""
        kind_place = _LENGTH.size + 1
        is_kind = self.buffer[kind_place : kind_place + 1] == bytes((kind,))
        return len(self.buffer) if is_kind else 0

    def close(self) -> None:
        """Count a frame that is not complete no longer."""
        if self.buffers is not None:
            self.buffers.release(self.counted)
        self.counted = 0

    def _length_at(self, start: int) -> int:
        (length,) = _LENGTH.unpack_from(self.buffer, start)
        if length > self.max_bytes:
            raise WireError(
                f'a frame of {length} bytes from a peer is too long',
                remedy='check that only nodes connect to the peer address',
            )
        return int(length)

    def _refuses(self, begin: int, length: int) -> bool:
        """Return whether a large run does not fit; count one that does."""
        if self.buffers is None or self.counted:
            return False
        start = self.buffer[begin : begin + _MAX_NUMBER_END]
        if len(start) < _MAX_NUMBER_END or not start.startswith(_RUN_START):
            return False
        if self.buffers.try_hold(length):
            self.counted = length
            return False
        return True

    def _refuse(self, begin: int, end: int) -> Frame:
        """Return a run without its fields; skip its bytes."""
        start = begin + len(_RUN_START)
        number = _decode_number(bytes(self.buffer[start : start + _MAX_NUMBER]))
        self.skipped = max(0, end - len(self.buffer))
        self.buffer = self.buffer[end:]
        return Frame(FrameKind.RUN, number, [], is_refused=True)

    def _skip(self, received: bytes) -> bytes:
        rest = received[self.skipped :]
        self.skipped -= len(received) - len(rest)
        return rest

    def _detach(self, begin: int, end: int) -> memoryview:
        """Return a part of the buffer; go on with what follows it."""
        self.close()
        detached = memoryview(self.buffer)
        self.buffer = bytearray(detached[end:])
        return detached[begin:end]

    def skip_partial(self) -> Frame:
        """Free a frame that is not complete, and skip the rest of it.

        Returns it without its fields. Raises ``WireError`` if it is invalid.
        """
        (length,) = _LENGTH.unpack_from(self.buffer)
        end = _LENGTH.size + length
        self.skipped = end - len(self.buffer)
        head = bytes(self.buffer[_LENGTH.size : _LENGTH.size + _MAX_HEAD_BYTES])
        self.buffer = bytearray()
        decoder = cbor2.CBORDecoder(BytesIO(head[1:]))
        try:
            kind, number = decoder.decode(), decoder.decode()
            return Frame(FrameKind(kind), index(number), [])
        except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
            raise _undecodable() from error


def _decode_large(payload: memoryview) -> Frame:
    """Decode a large payload; keep the body of a run as a view of it.

    The body is the last field. Bytes that only look like the start of it leave
    the fields before it incomplete.
    """
    if payload[: len(_RUN_START)] == _RUN_START:
        start = bytes(payload[:LARGE_BODY_BYTES])
        for place in _body_starts(start, len(payload)):
            try:
                frame = _decode(start[:place] + _NO_BYTES)
            except WireError:
                continue
            return frame._replace(body=payload[place + _BYTES_HEAD.size :])
    return _decode(payload)


def _body_starts(start: bytes, length: int) -> 'Iterator[int]':
    """Yield where a byte string may begin that ends with the payload."""
    place = start.find(_LONG_BYTES)
    while 0 <= place <= len(start) - _BYTES_HEAD.size:
        _, stated = _BYTES_HEAD.unpack_from(start, place)
        if place + _BYTES_HEAD.size + stated == length:
            yield place
        place = start.find(_LONG_BYTES, place + 1)


def _decode(payload: bytes | memoryview) -> Frame:
    try:
        kind, number, fields = _load(payload)
        return Frame(FrameKind(kind), index(number), fields)
    except (ValueError, TypeError) as error:
        raise _undecodable() from error


def _decode_number(start: bytes) -> int:
    number = _load(start)
    if isinstance(number, int):
        return number
    raise _undecodable()


def _load(payload: bytes | memoryview) -> Any:
    try:
        return cbor2.loads(payload)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise _undecodable() from error


def _undecodable() -> WireError:
    return WireError(
        'a frame from a peer cannot be decoded',
        remedy='run the same version on all nodes',
    )
