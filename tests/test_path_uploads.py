"""Large request bodies, many at the same time or from stalled callers."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import configuration, route
from path_standins import Host, MemoryStore
from test_path_nodes import run_with_hosts, wait_until

from boragetrestle_sidecar.body_budget import BodyBudget
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.outcome import OutcomeKind, Reason

LIMIT = 1000
_LOST = (OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
PART = b'x' * 400
LARGE = 3_000_000


def upload(name: str, size: int, **options: Any) -> bytes:
    """Return the head of an upload."""
    extra = f'Content-Length: {size}\r\n' + options.pop('extra', '')
    return request_bytes(
        name, method='POST', path='/walks/1', extra=extra, **options
    )


def bench_with_limit() -> EntryHarness:
    """Return an entry that holds up to a thousand bytes of bodies."""
    bench = EntryHarness(route(may_repeat=False))
    bench.entry.bodies = BodyBudget(LIMIT)
    return bench


def feed_readers(found: list[tuple[Any, Any]], part: bytes) -> None:
    """Send a part over each connection that reads."""
    for connection, transport in found:
        if transport.is_reading and connection.reader.is_amid_request:
            connection.data_received(part)


def test_body_whose_stated_length_is_too_large_is_refused_unread() -> None:
    """Nothing of it fills the memory."""
    bench = EntryHarness()
    new = configuration(route(may_repeat=False))
    new.limits = replace(CallerLimits(), body_bytes=100)
    bench.use(new)
    connection, transport = bench.connect()
    connection.data_received(upload('r-1', 101))
    assert transport.written.startswith(b'HTTP/1.1 413')
    assert transport.is_closed
    assert not bench.sent()


def test_reading_pauses_while_bodies_fill_the_memory() -> None:
    """The one that is furthest goes on and ends; then the others do."""
    bench = bench_with_limit()
    found = [bench.connect() for _ in range(4)]
    for number, (connection, _) in enumerate(found):
        connection.data_received(upload(f'r-{number}', 800))
        connection.data_received(PART)
    paused = bench.entry.bodies.paused
    assert len(paused) >= 1
    reading = [each for each, _transport in found if each not in paused]
    assert reading
    reading[0].data_received(PART)
    assert bench.sent()
    bench.sent()[0].answer()
    assert len(bench.entry.bodies.paused) < len(found)


# Guards against bodies that arrive at one pace and fill the memory together.
def test_bodies_at_one_pace_are_completed_one_after_the_other() -> None:
    """One is read to its end, and no other before it has been answered."""
    bench = bench_with_limit()
    found = [bench.connect() for _ in range(4)]
    for number, (connection, _) in enumerate(found):
        connection.data_received(upload(f'r-{number}', 800))
    for sent, _ in enumerate(found, start=1):
        for _ in range(8):
            feed_readers(found, PART[:100])
        assert len(bench.sent()) == sent
        assert bench.entry.bodies.held_bytes <= LIMIT + 3 * 100
        bench.sent()[-1].answer()
    assert bench.entry.bodies.held_bytes == 0


# Guards against the beginnings of bodies that hold back each other for good.
def test_body_larger_than_the_limit_is_read_after_those_before_it() -> None:
    """It neither waits for a moment without bodies nor joins a large one."""
    bench = bench_with_limit()
    found = [bench.connect() for _ in range(3)]
    for number, (connection, _) in enumerate(found):
        connection.data_received(upload(f'r-{number}', 5000) + PART)
    (first, _), (_, second), (_, third) = found
    assert not second.is_reading
    first.connection_lost(None)
    assert second.is_reading
    assert not third.is_reading


def test_continue_is_sent_when_there_is_room() -> None:
    """A caller that asks first keeps its body until then."""
    bench = bench_with_limit()
    full, _transport = bench.connect()
    full.data_received(upload('r-1', 1500))
    full.data_received(b'x' * LIMIT)
    asking, transport = bench.connect()
    asking.data_received(upload('r-2', 10, extra='Expect: 100-continue\r\n'))
    assert not transport.written
    full.connection_lost(None)
    assert transport.written.startswith(b'HTTP/1.1 100')


@pytest.mark.parametrize('others_wait', [False, True])
def test_body_that_stalls_is_given_up_only_if_others_wait(
    others_wait: bool,
) -> None:
    """It is refused as not run; a slow caller alone may go on."""
    bench = bench_with_limit()
    stalled, transport = bench.connect()
    stalled.data_received(upload('r-1', 5000))
    stalled.data_received(b'x' * LIMIT)
    if others_wait:
        other, _transport = bench.connect()
        other.data_received(upload('r-2', 800))
        other.data_received(PART)
    stalled.give_up_stalled_body(stalled.last_used_at + 4, 3.0)
    assert transport.written.startswith(b'HTTP/1.1 408') == others_wait
    assert transport.is_closed == others_wait


def test_upload_is_never_repeated_after_an_unknown_outcome() -> None:
    """A deed that is filed twice harms its owner."""
    bench = bench_with_limit()
    connection, transport = bench.connect()
    connection.data_received(upload('r-1', 400) + PART)
    (run,) = bench.sent()
    run.end(*_LOST)
    assert len(bench.sent()) == 1
    assert transport.written.startswith(b'HTTP/1.1 502')


def begin_waiting(time_left: int) -> tuple[EntryHarness, Any, Any]:
    """Return a caller whose body waits for that of another one."""
    bench = bench_with_limit()
    for name in ('r-1', 'r-2'):
        connection, transport = bench.connect()
        connection.data_received(upload(name, 800, time_left=time_left) + PART)
    return bench, connection, transport


# Guards against callers that wait for memory until their time is up.
def test_body_that_waits_too_long_for_memory_is_refused_as_not_run() -> None:
    """Its caller still has the time to go elsewhere."""
    bench, waiting, transport = begin_waiting(time_left=900)
    waiting.refuse_waiting_body(waiting.last_used_at + 0.4)
    assert not transport.written
    waiting.refuse_waiting_body(waiting.last_used_at + 0.5)
    assert transport.written.startswith(b'HTTP/1.1 503')
    assert b'"run": "not-run"' in transport.written
    assert b'retry-after' in transport.written
    assert transport.is_closed
    assert not bench.sent()


# Guards against a reset that takes the refusal from a caller that sends.
@pytest.mark.loopback
def test_refused_body_is_discarded_before_its_connection_is_closed() -> None:
    """None of it is kept or run."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        bodies = BodyBudget(LIMIT)
        hosts[0].node.entry.bodies = bodies
        first = await asyncio.open_connection(hosts[0].ip, 7002)
        first[1].write(upload('r-1', 800) + PART)
        await wait_until(lambda: bodies.held_bytes == len(PART))
        reader, writer = await asyncio.open_connection(hosts[0].ip, 7002)
        writer.write(upload('r-2', LARGE, time_left=900) + b'x' * LARGE)
        await writer.drain()
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 503')
        assert answer.endswith(b'}')
        assert bodies.held_bytes == len(PART)
        assert not hosts[0].target.runs
        writer.close()
        first[1].close()

    run_with_hosts(test)


# Guards against targets that get more time than the caller has left.
def test_wait_for_memory_is_taken_off_the_time_that_is_left() -> None:
    """The caller counts from when it began to send."""
    bench, waiting, transport = begin_waiting(time_left=900)
    first = next(iter(bench.entry.connections - {waiting}))
    waiting.reader.began_at -= 0.4
    first.connection_lost(None)
    assert transport.is_reading
    waiting.data_received(PART)
    (run,) = bench.sent()
    assert run.order.time_left < 0.5


# Guards against slow uploads whose claims hold back all small bodies.
def test_small_body_is_read_while_slow_uploads_claim_the_memory() -> None:
    """What they claim has not been sent yet."""
    bench = bench_with_limit()
    for name, size in (('r-1', 750), ('r-2', 250)):
        slow, _transport = bench.connect()
        slow.data_received(upload(name, size) + b'x')
    small, transport = bench.connect()
    small.data_received(upload('r-3', 10) + b'x' * 5)
    assert transport.is_reading


# Guards against an upload of single bytes that keeps others waiting for good.
@pytest.mark.parametrize(('time_left', 'late'), [(900, 1), (86_400_000, 61)])
def test_upload_that_never_ends_is_given_up_if_others_wait(
    time_left: int,
    late: float,
) -> None:
    """Its claim is far more than what it has sent."""
    bench = bench_with_limit()
    slow, transport = bench.connect()
    slow.data_received(upload('r-1', 1000, time_left=time_left) + b'x')
    other, waiting = bench.connect()
    other.data_received(upload('r-2', 800) + b'x')
    assert not waiting.is_reading
    slow.give_up_stalled_body(slow.last_used_at + late / 2, 60.0)
    assert not transport.written
    slow.give_up_stalled_body(slow.last_used_at + late, 120.0)
    assert transport.written.startswith(b'HTTP/1.1 408')
    assert waiting.is_reading
