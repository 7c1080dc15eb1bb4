"""Large request bodies, many at the same time or from stalled callers."""

from dataclasses import replace
from typing import Any

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import configuration, route

from boragetrestle_sidecar.body_budget import BodyBudget
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.outcome import OutcomeKind, Reason

LIMIT = 1000
_LOST = (OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
PART = b'x' * 400


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
