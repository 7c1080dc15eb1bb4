"""Large bodies between nodes and on their way to targets."""

import random
from typing import Any

import pytest
from path_builders import (
    FakeTransport,
    GuardHarness,
    LineLog,
    answer_bytes,
    open_connection,
    run_order,
)

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import WireError
from boragetrestle_kernel.ids import RequestId
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind
from boragetrestle_sidecar.peer_frames import (
    Frame,
    FrameKind,
    FrameReader,
    decode_fields,
    encode_frame,
    encode_parts,
)
from boragetrestle_sidecar.peer_link import PeerLink
from boragetrestle_sidecar.peer_server import PeerConnection, PeerServer
from boragetrestle_sidecar.run_buffers import RunBuffers
from boragetrestle_sidecar.run_order import RunOrder

SIZE = 1_000_000


def large_order(**changes: Any) -> RunOrder:
    """Return a run with a large body."""
    return run_order()._replace(**{'body': bytes(SIZE), **changes})


def framed(payload: bytes) -> bytes:
    """Return a frame with any payload."""
    return len(payload).to_bytes(4, 'big') + payload


def open_link() -> tuple[PeerLink, FakeTransport]:
    """Return a link whose peer takes all that is sent."""
    messages: Any = LineLog()
    messages.hello_fields = lambda _peer: ['a', 0, []]
    link = PeerLink(Address('127.0.0.1', 9), messages, LineLog())
    transport: Any = FakeTransport()
    link.connection_made(transport)
    transport.written = b''
    return link, transport


@pytest.mark.parametrize(
    ('kind', 'fields'),
    [
        (FrameKind.RUN, large_order()),
        (FrameKind.RUN, large_order(body=bytearray(SIZE))),
        (
            FrameKind.OUTCOME,
            Outcome(OutcomeKind.ANSWERED, status=200, body=bytes(SIZE)),
        ),
    ],
)
def test_frame_in_parts_is_the_frame_that_other_builds_read(
    kind: FrameKind,
    fields: Any,
) -> None:
    """A body that is not copied changes nothing on the wire."""
    for number in (1, 100, 100_000, 2**40):
        whole = encode_frame(kind, number, fields)
        assert b''.join(encode_parts(kind, number, fields)) == whole


def test_large_run_is_read_whole_among_other_frames() -> None:
    """However the bytes arrive."""
    order = large_order(body=random.Random(0).randbytes(SIZE))
    small = encode_frame(FrameKind.RUN, 8, run_order())
    sent = small + encode_frame(FrameKind.RUN, 7, order) + small
    for step in (1000, 262_144, len(sent)):
        reader = FrameReader()
        frames: list[Frame] = []
        for start in range(0, len(sent), step):
            frames.extend(reader.feed(sent[start : start + step]))
        assert [frame.number for frame in frames] == [8, 7, 8]
        assert frames[1].body == order.body
        assert decode_fields(frames[1], RunOrder) == order._replace(body=b'')
        assert not reader.buffer


# Guards against a header that is taken for the start of the body.
def test_bytes_that_look_like_the_start_of_a_body_are_no_body() -> None:
    """A caller chooses its headers."""
    order = large_order(head=b'x-odd: Z0000\r\n')
    encoded = encode_frame(FrameKind.RUN, 7, order)
    place = encoded.index(b'Z0000')
    length = len(encoded) - place - 5
    head = order.head.replace(b'0000', length.to_bytes(4, 'big'))
    (frame,) = FrameReader().feed(
        encode_frame(FrameKind.RUN, 7, order._replace(head=head))
    )
    assert decode_fields(frame, RunOrder).head == head
    assert frame.body == order.body


def test_large_document_that_is_no_run_stays_in_its_fields() -> None:
    """A configuration is the last field of its message, too."""
    sent = encode_frame(FrameKind.CONFIGURATION, 0, [bytes(SIZE)])
    (frame,) = FrameReader().feed(sent)
    assert frame.fields == [bytes(SIZE)]


@pytest.mark.parametrize('seed', range(20))
def test_large_frame_of_any_bytes_is_a_typed_error(seed: int) -> None:
    """Its connection is closed, not the process."""
    chance = random.Random(seed)
    order = encode_frame(FrameKind.RUN, 7, large_order())[4:]
    kept = order[: chance.randint(2, 150)]
    payload = kept + chance.randbytes(70_000)
    with pytest.raises(WireError):
        for frame in FrameReader().feed(framed(payload)):
            decode_fields(frame, RunOrder)


# Guards against a transport that copies what its peer does not take yet.
def test_large_run_waits_for_a_slow_peer_and_keeps_its_place() -> None:
    """Frames behind it don't overtake."""
    link, transport = open_link()
    link.pause_writing()
    link.run(large_order(), lambda _outcome: None)
    link.run(run_order(), lambda _outcome: None)
    assert len(transport.written) < SIZE / 2
    link.resume_writing()
    frames = FrameReader().feed(transport.written)
    assert [frame.number for frame in frames] == [1, 2]
    assert frames[0].body == bytes(SIZE)


# Guards against other bytes where a target expects the rest of a body.
def test_connection_with_a_body_that_is_not_sent_is_not_used_again() -> None:
    """A target may answer before it has read all."""
    connection, transport = open_connection()
    listener: Any = LineLog()
    listener.answered = lambda _answer: None
    connection.pause_writing()
    connection.exchange(b'POST', listener, RequestId(b'r-1'), body=bytes(SIZE))
    assert len(transport.written) < SIZE / 2
    connection.data_received(answer_bytes('r-1'))
    assert not connection.is_usable
    connection.resume_writing()
    assert len(transport.written) < SIZE / 2


# Guards against many nodes that each send one guard a large body.
def test_large_runs_of_many_nodes_are_refused_beyond_the_memory() -> None:
    """Those that do not fit are not run, and frames behind them are read."""
    buffers = RunBuffers(2 * SIZE)
    readers = [FrameReader(buffers=buffers) for _ in range(3)]
    sent = encode_frame(FrameKind.RUN, 7, large_order())
    sent += encode_frame(FrameKind.RUN, 8, run_order())
    frames: list[Frame] = []
    for start in range(0, len(sent), 100_000):
        for reader in readers:
            frames.extend(reader.feed(sent[start : start + 100_000]))
        assert sum(len(each.buffer) for each in readers) < 2 * SIZE
    refused = [frame for frame in frames if frame.is_refused]
    assert [frame.number for frame in refused] == [7, 7]
    assert [frame.number for frame in frames].count(8) == len(readers)
    assert buffers.held_bytes == 0


def test_memory_of_a_run_is_free_when_it_ends_or_its_connection_does() -> None:
    """Otherwise all large runs would be refused from then on."""
    buffers = RunBuffers(SIZE)
    first, second = FrameReader(buffers=buffers), FrameReader(buffers=buffers)
    sent = encode_frame(FrameKind.RUN, 7, large_order())
    first.feed(sent[:100])
    first.close()
    (frame,) = second.feed(sent)
    assert not frame.is_refused
    assert buffers.held_bytes == 0


# Guards against work that is called not run, and memory that is never free.
@pytest.mark.parametrize('further', [(), ('field of a newer build',)])
def test_guard_refuses_a_large_run_as_not_sent_until_another_ends(
    further: tuple[str, ...],
) -> None:
    """An entry may send it to another guard at once."""
    sent = (*large_order(), *further)
    messages: Any = LineLog()
    harness = GuardHarness()
    server = PeerServer(harness.guard, messages, LineLog())
    connection = PeerConnection(server)
    transport: Any = FakeTransport()
    connection.connection_made(transport)
    # A peer sends something short first.
    connection.data_received(encode_frame(FrameKind.CANCEL, 1, ()))
    server.buffers.hold(server.buffers.limit)
    connection.data_received(encode_frame(FrameKind.RUN, 7, sent))
    (frame,) = FrameReader().feed(transport.written)
    outcome = decode_fields(frame, Outcome)
    assert (frame.number, outcome.kind) == (7, OutcomeKind.NOT_SENT)
    assert not harness.guard.jobs
    server.buffers.release(server.buffers.limit)
    connection.data_received(encode_frame(FrameKind.RUN, 8, sent))
    assert server.buffers.held_bytes == SIZE
    harness.guard.stop()
    connection.connection_lost(None)
    assert server.buffers.held_bytes == 0
