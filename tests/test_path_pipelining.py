"""Callers that send further requests before the first is answered."""

from typing import Any

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import route

from boragetrestle_sidecar.caller_connection import (
    MAX_CONCURRENT_REQUESTS,
    MAX_HELD_ANSWER_BYTES,
)
from boragetrestle_sidecar.outcome import OutcomeKind, Reason


def bench_with_two_routes() -> EntryHarness:
    """Return an entry with a route to read and one to write."""
    return EntryHarness(
        route(),
        route('buy', prefix='/buy/', may_repeat=False),
    )


def requests(*names: str, **options: Any) -> bytes:
    """Return requests that follow each other on a connection."""
    return b''.join(request_bytes(name, **options) for name in names)


def write(name: str) -> bytes:
    """Return a request that may not be repeated."""
    return request_bytes(name, method='POST', path='/buy/1')


def names_started(bench: EntryHarness) -> set[str]:
    """Return the requests that were sent to a guard."""
    return {run.order.request_id.decode() for run in bench.sent()}


@pytest.mark.parametrize('order', ['abc', 'cba', 'bac', 'cab'])
def test_answers_come_in_the_order_of_the_requests(order: str) -> None:
    """All run at the same time, whichever target is slow."""
    bench = bench_with_two_routes()
    connection, transport = bench.connect()
    connection.data_received(requests('a', 'b', 'c'))
    assert names_started(bench) == {'a', 'b', 'c'}
    for name in order:
        bench.sent_for(name)[0].answer(body=b'body-' + name.encode())
    found = [
        transport.written.index(b'body-' + name) for name in (b'a', b'b', b'c')
    ]
    assert found == sorted(found)


def test_request_that_may_not_be_repeated_waits_for_those_before_it() -> None:
    """Its caller would send it again behind an answer that closes."""
    bench = bench_with_two_routes()
    connection, _transport = bench.connect()
    connection.data_received(requests('a') + write('b') + requests('c'))
    assert names_started(bench) == {'a'}
    bench.sent_for('a')[0].answer()
    connection.data_received(b'')
    assert names_started(bench) == {'a', 'b'}
    bench.sent_for('b')[0].answer()
    connection.data_received(b'')
    assert names_started(bench) == {'a', 'b', 'c'}


def test_nothing_starts_behind_a_request_that_closes_the_connection() -> None:
    """It counts as unread, and its caller sends it again."""
    bench = bench_with_two_routes()
    connection, transport = bench.connect()
    closing = request_bytes('a', extra='Connection: close\r\n')
    connection.data_received(closing + requests('b'))
    assert names_started(bench) == {'a'}
    bench.sent_for('a')[0].answer()
    assert transport.is_closed
    assert names_started(bench) == {'a'}


# Guards against requests that a stop reads and never answers.
def test_planned_stop_answers_all_that_it_has_read() -> None:
    """Only the last answer closes the connection."""
    bench = bench_with_two_routes()
    connection, transport = bench.connect()
    connection.data_received(requests('a', 'b'))
    bench.entry.is_stopping = True
    connection.data_received(requests('c'))
    assert names_started(bench) == {'a', 'b'}
    bench.sent_for('b')[0].answer(body=b'body-b')
    assert names_started(bench) == {'a', 'b'}
    bench.sent_for('a')[0].answer(body=b'body-a')
    assert names_started(bench) == {'a', 'b', 'c'}
    assert not transport.is_closed
    bench.sent_for('c')[0].answer(body=b'body-c')
    heads = transport.written.partition(b'body-b')
    assert b'connection: close' not in heads[0]
    assert b'connection: close' in heads[2]
    assert transport.written.endswith(b'body-c')
    assert transport.is_closed


def test_caller_that_leaves_cancels_all_its_requests() -> None:
    """No run goes on for an answer that nobody reads."""
    bench = bench_with_two_routes()
    connection, _transport = bench.connect()
    connection.data_received(requests('a', 'b', 'c'))
    connection.connection_lost(None)
    cancelled = [each for hop in bench.hops.values() for each in hop.cancelled]
    assert len(cancelled) == 3


def test_requests_before_invalid_bytes_are_answered_first() -> None:
    """The refusal of the bytes is the last answer."""
    bench = bench_with_two_routes()
    connection, transport = bench.connect()
    connection.data_received(requests('a', 'b') + b'\x00 nonsense\r\n\r\n')
    assert not transport.is_closed
    for name in 'ab':
        bench.sent_for(name)[0].answer(body=b'body-' + name.encode())
    assert transport.is_closed
    assert transport.written.index(b'body-b') < transport.written.index(b'400')


def test_refusal_of_a_later_request_waits_for_the_earlier_answer() -> None:
    """A request without a route is refused at once, but in its order."""
    bench = bench_with_two_routes()
    connection, transport = bench.connect()
    connection.data_received(requests('a') + requests('b', path='/none/'))
    assert not transport.written
    bench.sent_for('a')[0].answer(body=b'body-a')
    assert transport.written.index(b'body-a') < transport.written.index(b'404')


def test_window_and_held_bytes_are_bounded() -> None:
    """One connection can't fill the memory of its node."""
    bench = bench_with_two_routes()
    connection, _transport = bench.connect()
    names = [f'r-{number}' for number in range(MAX_CONCURRENT_REQUESTS + 3)]
    connection.data_received(requests(*names))
    assert names_started(bench) == set(names[:MAX_CONCURRENT_REQUESTS])
    bench.sent_for('r-1')[0].answer(body=b'x' * MAX_HELD_ANSWER_BYTES)
    connection.data_received(b'')
    assert names_started(bench) == set(names[:MAX_CONCURRENT_REQUESTS])


def test_failed_first_request_does_not_hold_back_the_next_answer() -> None:
    """Each request has its own outcome."""
    bench = bench_with_two_routes()
    connection, transport = bench.connect()
    connection.data_received(write('a') + requests('b'))
    bench.sent_for('a')[0].end(OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
    connection.data_received(b'')
    bench.sent_for('b')[0].answer(body=b'body-b')
    assert transport.written.startswith(b'HTTP/1.1 502')
    assert transport.written.endswith(b'body-b')
