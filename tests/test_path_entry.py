"""The entry: the answer that a caller gets for each outcome."""

import re
from typing import Any

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import configuration, route

from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.outcome import OutcomeKind, Reason
from boragetrestle_sidecar.suspects import fingerprint


def answers(transport: Any) -> list[bytes]:
    """Return the status codes that a caller received."""
    return re.findall(rb'HTTP/1.1 (\d+) ', transport.written)


def test_answer_of_the_target_reaches_its_caller() -> None:
    """Status, seal and body go through unchanged."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    bench.sent()[0].answer(body=b'all of it')
    assert transport.written.endswith(b'\r\n\r\nall of it')
    assert b'seal: s\r\n' in transport.written


def test_run_carries_the_systems_headers_in_place_of_the_callers() -> None:
    """A caller can't impersonate another organisation or service."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    forged = 'Organisation: rich\r\nCaller: bank\r\nTarget: t-9\r\n'
    connection.data_received(request_bytes(extra=forged))
    head = bench.sent()[0].order.head.lower()
    assert b'organisation: acacia\r\n' in head
    assert b'caller: shop\r\n' in head
    assert b'rich' not in head
    assert b't-9' not in head
    assert b'secret' not in head


def test_chunked_body_goes_on_whole_with_a_length() -> None:
    """The target gets the same bytes, framed once."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    chunks = '3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    connection.data_received(
        request_bytes(
            method='POST',
            extra='Transfer-Encoding: chunked\r\n',
            body=chunks,
        )
    )
    order = bench.sent()[0].order
    assert order.body == b'abcde'
    assert b'content-length: 5' in order.head
    assert b'transfer-encoding' not in order.head


# Guards against a key, a host or an id that stands in trailers.
def test_trailers_of_a_request_are_no_headers() -> None:
    """They are dropped with the framing that they come in."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    trailers = 'Call-Id: r-9\r\nHost: other\r\nx-a: b\r\n'
    connection.data_received(
        request_bytes(
            method='POST',
            extra='Transfer-Encoding: chunked\r\n',
            body=f'3\r\nabc\r\n0\r\n{trailers}\r\n',
        )
    )
    order = bench.sent()[0].order
    assert order.body == b'abc'
    assert order.head.count(b'call-id') == 1
    assert b'x-a' not in order.head


@pytest.mark.parametrize(
    'framing',
    [
        'Transfer-Encoding: chunked\r\nContent-Length: 5\r\n',
        'Content-Length: 5\r\nContent-Length: 6\r\n',
        'Transfer-Encoding: xchunked\r\n',
        'Content-Length: +5\r\n',
    ],
)
def test_ambiguous_framing_is_refused(framing: str) -> None:
    """A request body can't smuggle a second request."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(
        request_bytes(method='POST', extra=framing, body='0\r\n\r\nGET /x')
    )
    assert not bench.sent()
    assert transport.is_closed


@pytest.mark.parametrize(
    ('wrong', 'expected'),
    [
        ({'path': '/none/1'}, [b'404']),
        ({'key': 'other'}, [b'401']),
        ({'request_id': ''}, [b'400']),
    ],
)
def test_what_no_configuration_allows_is_refused(
    wrong: dict[str, Any],
    expected: list[bytes],
) -> None:
    """Route and key are checked at each request."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes(**wrong))
    assert answers(transport) == expected
    assert not bench.sent()


def test_without_a_configuration_callers_are_told_to_come_back() -> None:
    """A node without a configuration answers 503 instead of 404."""
    bench = EntryHarness()
    bench.entry.configuration = None
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    assert answers(transport) == [b'503']
    assert b'retry-after' in transport.written


def test_withdrawn_key_is_refused_on_an_open_connection() -> None:
    """The key is checked at each request, not at connection time."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes('r-1'))
    bench.sent()[0].answer()
    bench.use(configuration(version=2, organisations=()))
    bench.use(configuration(version=3))
    connection.data_received(request_bytes('r-2', key='gone'))
    assert answers(transport) == [b'200', b'401']


def test_guard_that_did_not_send_costs_nothing() -> None:
    """A run that was not sent goes to another guard even without retries."""
    bench = EntryHarness(route(may_repeat=False, max_attempts=1))
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    first = bench.sent()[0]
    first.end(OutcomeKind.NOT_SENT, Reason.DRAINING)
    second = next(run for run in bench.sent() if run is not first)
    second.answer()
    assert answers(transport) == [b'200']


def test_unknown_outcome_is_repeated_only_where_allowed() -> None:
    """A request that must not be repeated is not sent again."""
    for may_repeat, runs in ((True, 2), (False, 1)):
        bench = EntryHarness(route(may_repeat=may_repeat))
        connection, _transport = bench.connect()
        connection.data_received(request_bytes())
        bench.sent()[0].end(OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
        assert len(bench.sent()) == runs


def test_unknown_outcome_is_no_promise() -> None:
    """502 leaves open whether it ran; 503 would state that it did not."""
    bench = EntryHarness(route(may_repeat=False))
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    bench.sent()[0].end(OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
    assert answers(transport) == [b'502']


def test_refusal_after_an_unknown_attempt_is_no_promise() -> None:
    """After one unknown outcome no refusal states that nothing ran."""
    bench = EntryHarness(route(max_attempts=3))
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    first = bench.sent()[0]
    first.end(OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
    second = next(run for run in bench.sent() if run is not first)
    second.end(OutcomeKind.NOT_SENT, Reason.QUEUE_FULL)
    assert answers(transport) == [b'502']


def test_attempts_stay_within_the_route() -> None:
    """Failed requests are not retried beyond the route's limit."""
    bench = EntryHarness(route(max_attempts=1))
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    bench.sent()[0].answer(status=500)
    assert len(bench.sent()) == 1
    assert answers(transport) == [b'500']


def test_onward_calls_earn_repeats_of_their_own() -> None:
    """Onward calls have a retry budget of their own.

    A failed call also fails the run that made it.
    """
    bench = EntryHarness(route(needs_key=False))
    bench.budget.slack = 0
    for number in range(30):
        connection, _transport = bench.connect()
        connection.data_received(request_bytes(f'r-{number}'))
    last = bench.sent_for('r-29')[0]
    last.end(OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
    assert len(bench.sent_for('r-29')) == 2


def test_repeats_stay_within_the_budget() -> None:
    """Once the retry budget is spent, failures go to the callers."""
    bench = EntryHarness()
    bench.budget.slack = 0
    for number in range(100):
        connection, _transport = bench.connect()
        connection.data_received(request_bytes(f'r-{number}'))
        bench.sent_for(f'r-{number}')[0].end(
            OutcomeKind.UNKNOWN,
            Reason.CONNECTION_LOST,
        )
    # Each request earns half of the 0.2 retries that operators allow.
    assert 108 <= len(bench.sent()) <= 110


def test_caller_that_leaves_cancels_its_run() -> None:
    """The guard is told at once when the caller disconnects."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    connection.data_received(request_bytes())
    connection.connection_lost(None)
    assert sum(len(hop.cancelled) for hop in bench.hops.values()) == 1
    assert not bench.entry.requests


def test_silent_guard_ends_with_the_time_limit() -> None:
    """The caller gets an answer before its deadline."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes(time_left=1000))
    bench.clock.now += 0.995
    bench.entry.expire_overdue_requests()
    assert answers(transport) == [b'504']


def test_time_limit_of_the_route_bounds_the_run() -> None:
    """The route's time limit applies to callers that would wait longer."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    connection.data_received(request_bytes(time_left=60_000))
    assert bench.sent()[0].order.time_left == pytest.approx(2.0)


def test_rate_is_kept() -> None:
    """Requests beyond rate and burst get 429 with a time to retry."""
    bench = EntryHarness()
    refused = 0
    for number in range(150):
        connection, transport = bench.connect()
        connection.data_received(request_bytes(f'r-{number}'))
        refused += answers(transport) == [b'429']
    assert len(bench.sent()) == 100
    assert refused == 50


def test_onward_call_needs_no_key_and_is_counted() -> None:
    """An onward call is counted for the run of the calling route."""
    bench = EntryHarness(route('inner', needs_key=False))
    run = bench.attribution.start_run('outer', bench.clock.now + 1)
    connection, _transport = bench.connect()
    connection.data_received(request_bytes(key=''))
    assert bench.sent()[0].order.is_call
    assert run.calls == {'inner': 1.0}


def test_request_that_crashed_three_targets_is_refused() -> None:
    """It is recognised by organisation, path and body, at any node."""
    bench = EntryHarness()
    for _ in range(3):
        bench.suspects.record_crash(
            fingerprint('acacia', b'/walks/1', b''),
            is_own=False,
        )
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    assert answers(transport) == [b'503']
    connection.data_received(request_bytes('r-2', path='/walks/2'))
    assert len(bench.sent()) == 1


def test_bystander_of_crashes_is_cleared_by_an_answer() -> None:
    """A request that a target answers is not the cause of a crash."""
    bench = EntryHarness()
    print_ = fingerprint('acacia', b'/walks/1', b'')
    bench.suspects.record_crash(print_, is_own=False)
    connection, _transport = bench.connect()
    connection.data_received(request_bytes())
    bench.sent()[0].answer()
    assert not bench.suspects.crashes


def test_weights_of_a_split_are_kept() -> None:
    """Each service gets its share of the requests."""
    bench = EntryHarness(route(services={'walks': 90, 'gates': 10}))
    shared = bench.entry.configuration
    assert shared is not None
    chosen = [
        bench.entry.service_split.choose(shared.routes[0]) for _ in range(1000)
    ]
    gates = [service for service in chosen if service == 'gates']
    assert abs(len(gates) - 100) <= 1


def test_stopping_node_closes_after_its_answers() -> None:
    """Answers close the connection; none is cut short."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    bench.entry.is_stopping = True
    bench.sent()[0].answer()
    assert b'connection: close' in transport.written
    assert transport.is_closed


def test_refusal_is_logged_with_what_decided_it() -> None:
    """The log line names the request, the reason and the outcome."""
    bench = EntryHarness(route(may_repeat=False))
    connection, _transport = bench.connect()
    connection.data_received(request_bytes('r-7'))
    bench.sent()[0].end(OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
    kind, fields = bench.log.lines[-1]
    assert kind == 'refused'
    assert fields['request'] == 'r-7'
    assert fields['reason'] == 'connection-lost'
    assert fields['may_have_run']


# Guards against bytes behind an answer that callers take for the next one.
def test_refusal_of_a_head_request_has_no_body() -> None:
    """The length is that of the body that another method would get."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes(method='HEAD', path='/nowhere/'))
    head, _, body = transport.written.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 404')
    assert b'content-length: ' in head
    assert body == b''
    connection.data_received(request_bytes('r-2', path='/nowhere/'))
    assert transport.written.count(b'"code"') == 1


def test_limits_of_a_configuration_hold_on_connections_from_before() -> None:
    """Callers keep connections open for a day."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    bench.entry.configuration = None
    bench.entry.configure(
        configuration(route(), limits=CallerLimits(body_bytes=3))
    )
    connection.data_received(
        request_bytes(method='POST', extra='Content-Length: 9\r\n', body='123')
    )
    assert answers(transport) == [b'413']
