"""Targets in trouble that send bytes without end."""

import itertools
import tracemalloc
from collections.abc import Iterator
from typing import Any

import pytest
from path_builders import GuardHarness, answer_bytes, run_order

from boragetrestle_sidecar.outcome import OutcomeKind, Reason

SEGMENT_BYTES = 65536  # as the event loop delivers them
MAX_HEAD_SENT = 1_000_000
MAX_BODY_SENT = 40_000_000
MAX_HELD_TOGETHER = 80_000_000
MAX_KEPT_BYTES = 500_000

_HEAD = b'HTTP/1.1 200 OK\r\ncall-id: r-1\r\nseal: s\r\n'
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'

ENDLESS_HEADS = {
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'one header': (_HEAD + b'a: ', b'x'),
    'header name': (_HEAD, b'x'),
    'many headers': (_HEAD, b'a: b\r\n'),
    'empty lines': (b'', b'\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'chunk extension': (_CHUNKED + b'5;a=', b'x'),
    'chunk size': (_CHUNKED, b'0'),
    'trailers': (_CHUNKED + b'0\r\n', b'a: b\r\n'),
    'no answer': (b'', b'\x00\xff'),
}
ENDLESS_BODIES = {
    'until the end of the connection': (_HEAD + b'\r\n', b'x' * 1000),
    'a length': (_HEAD + b'content-length: 99999999999\r\n\r\n', b'x' * 1000),
    'large chunks': (_CHUNKED, b'3e8\r\n%s\r\n' % (b'x' * 1000)),
    'chunks of a byte': (_CHUNKED, b'1\r\nx\r\n'),
    'answers to others': (
        b'',
        answer_bytes('r-9', b'x' * 1000),
    ),
}


def segments(start: bytes, repeated: bytes) -> Iterator[bytes]:
    """Return endless bytes in segments."""
    yield start + repeated
    segment = repeated * (SEGMENT_BYTES // len(repeated))
    yield from itertools.repeat(segment)


def feed_until_closed(job: Any, sent: Iterator[bytes], most: int) -> int:
    """Feed a run's connection until it closes; return the bytes that took."""
    connection = job.connection
    count = 0
    for segment in sent:
        if connection.transport.is_closed:
            break
        count += len(segment)
        assert count <= most, 'the connection is still open'
        connection.data_received(segment)
    return count


@pytest.mark.parametrize('shape', ENDLESS_HEADS)
def test_head_without_end_closes_the_connection(shape: str) -> None:
    """Nothing else would end it before the time limit of the run."""
    bench = GuardHarness()
    job = bench.submit(run_order())
    feed_until_closed(job, segments(*ENDLESS_HEADS[shape]), MAX_HEAD_SENT)
    outcome = bench.outcomes['r-1']
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert outcome.reason is Reason.ANSWER_GARBLED
    assert bench.guard.running == 0
    assert 'answer-refused' in bench.log.kinds()


@pytest.mark.parametrize('shape', ENDLESS_BODIES)
def test_body_without_end_closes_the_connection(shape: str) -> None:
    """What is held of it counts towards the node's memory."""
    bench = GuardHarness()
    job = bench.submit(run_order())
    feed_until_closed(job, segments(*ENDLESS_BODIES[shape]), MAX_BODY_SENT)
    outcome = bench.outcomes['r-1']
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert outcome.reason is Reason.ANSWER_GARBLED
    assert bench.guard.running == 0


# Guards against refused bodies that wait for the garbage collector.
@pytest.mark.parametrize('shape', ENDLESS_BODIES)
def test_refused_body_is_freed_at_once(shape: str) -> None:
    """Neither the connection nor its error keeps any of it."""
    bench = GuardHarness()
    job = bench.submit(run_order())
    tracemalloc.start()
    try:
        feed_until_closed(job, segments(*ENDLESS_BODIES[shape]), MAX_BODY_SENT)
        kept_bytes, _peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes < MAX_KEPT_BYTES


def test_bodies_without_end_are_bounded_together() -> None:
    """Each slot of the target may be hit at once."""
    bench = GuardHarness(slots=64, connections=64)
    jobs = [bench.submit(run_order(f'r-{number}')) for number in range(60)]
    small = jobs[0]
    fed = dict.fromkeys(range(1, 60), 0)
    head = b'HTTP/1.1 200 OK\r\ncall-id: r-%d\r\nseal: s\r\n\r\n'
    for number in fed:
        jobs[number].connection.data_received(head % number)
    for _ in range(100):
        for number in fed:
            connection = jobs[number].connection
            if not connection.transport.is_closed:
                connection.data_received(b'x' * SEGMENT_BYTES)
                fed[number] += SEGMENT_BYTES
        held = sum(
            count
            for number, count in fed.items()
            if not jobs[number].connection.transport.is_closed
        )
        assert held <= MAX_HELD_TOGETHER
    bench.answer(small)
    assert bench.outcomes['r-0'].kind is OutcomeKind.ANSWERED


def test_long_answer_in_small_chunks_is_whole() -> None:
    """The bounds are for bytes without end, not for framing."""
    bench = GuardHarness()
    job = bench.submit(run_order())
    job.connection.data_received(_CHUNKED)
    for _ in range(20):
        job.connection.data_received(b'1\r\nx\r\n' * 10_000)
    job.connection.data_received(b'0\r\n\r\n')
    assert bench.outcomes['r-1'].body == b'x' * 200_000
