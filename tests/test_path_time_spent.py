"""Time of the caller that passes before its request can run."""

from typing import Any

from entry_builders import EntryHarness, request_bytes
from path_builders import ManualClock, route
from test_path_pipelining_faults import (
    PART,
    begin_uploads,
    bench_with_limit,
    upload,
)


def waiting_request(clock: ManualClock) -> tuple[EntryHarness, Any]:
    """Return an entry with a request and another that waits behind it."""
    bench = EntryHarness(route(may_repeat=False))
    connection, _transport = bench.connect()
    for name in ('r-1', 'r-2'):
        connection.data_received(request_bytes(name, time_left=1000))
    clock.now += 0.7
    return bench, connection


# Guards against a request that runs when its caller has given up.
def test_time_behind_other_requests_is_taken_off(clock: ManualClock) -> None:
    """Only 0.3 s of the second are left."""
    bench, _connection = waiting_request(clock)
    bench.sent()[0].answer()
    assert 0.2 < bench.sent()[1].order.time_left < 0.3


# Guards against a request that runs when its caller has given up.
def test_time_in_which_a_body_came_is_taken_off(clock: ManualClock) -> None:
    """A caller counts it, too."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    connection.data_received(upload('r-1', 800, time_left=1000) + PART)
    clock.now += 0.7
    connection.data_received(b'x' * 300)
    (run,) = bench.sent()
    assert 0.2 < run.order.time_left < 0.3


# Guards against bodies that wait for memory until their callers give up.
def test_wait_for_memory_is_not_counted_from_an_answer(
    clock: ManualClock,
) -> None:
    """An answer to an earlier request does not give back the time."""
    bench = bench_with_limit()
    begin_uploads(bench, 2)
    connection, transport = bench.connect()
    connection.data_received(request_bytes('r-8'))
    connection.data_received(upload('r-9', 800, time_left=1000) + PART)
    assert not transport.is_reading
    clock.now += 0.4
    bench.sent_for('r-8')[0].answer()
    clock.now += 0.2
    connection.refuse_waiting_body(clock.now)
    assert b'"code": "memory-full"' in transport.written


# Guards against runs and tokens that are spent on callers who have given up.
def test_request_whose_time_is_over_is_refused_as_not_run(
    clock: ManualClock,
) -> None:
    """No guard is asked."""
    bench, connection = waiting_request(clock)
    clock.now += 0.5
    (run,) = bench.sent()
    run.answer()
    assert len(bench.sent()) == 1
    written: bytes = connection.transport.written
    assert b'"code": "expired-in-queue", "run": "not-run"' in written
