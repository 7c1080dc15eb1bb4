"""Faults of connections whose callers send further requests ahead."""

from dataclasses import replace
from typing import Any

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import configuration, route

from boragetrestle_sidecar.body_budget import BodyBudget
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.outcome import Reason
from boragetrestle_sidecar.refusal_answer import refusal_bytes

LIMIT = 1000
PART = b'x' * 500


def upload(
    name: str, size: int, *, extra: str = '', time_left: int = 1000
) -> bytes:
    """Return the head of an upload."""
    length = f'Content-Length: {size}\r\n'
    return request_bytes(
        name,
        method='POST',
        path='/walks/1',
        time_left=time_left,
        extra=length + extra,
    )


def bench_with_limit() -> EntryHarness:
    """Return an entry that holds up to a thousand bytes of bodies."""
    bench = EntryHarness(route(may_repeat=False))
    bench.entry.bodies = BodyBudget(LIMIT)
    return bench


def begin_uploads(bench: EntryHarness, count: int) -> list[tuple[Any, Any]]:
    """Return connections that have each sent half of a body."""
    found = [bench.connect() for _ in range(count)]
    for number, (connection, _transport) in enumerate(found):
        connection.data_received(upload(f'r-{number}', 1000) + PART)
    return found


def test_one_body_is_read_on_when_the_one_before_it_has_left() -> None:
    """Paused bodies that fill the memory alone would all wait forever."""
    bench = bench_with_limit()
    found = begin_uploads(bench, 4)
    found[0][0].connection_lost(None)
    assert any(transport.is_reading for _, transport in found[1:])


def test_body_that_is_sent_without_waiting_for_continue_is_paused() -> None:
    """Its caller would fill the memory beyond the limit."""
    bench = bench_with_limit()
    begin_uploads(bench, 3)
    asking, transport = bench.connect()
    asking.data_received(upload('r-9', 1000, extra='Expect: 100-continue\r\n'))
    asking.data_received(b'x' * 100)
    assert not transport.is_reading


def test_caller_whose_body_was_paused_is_not_closed_as_idle() -> None:
    """It can't send, so its silence says nothing."""
    bench = bench_with_limit()
    found = begin_uploads(bench, 3)
    paused, transport = found[2]
    assert not transport.is_reading
    paused.close_if_idle(paused.last_used_at + 60, 15)
    assert not transport.is_closed


def test_body_is_not_given_up_for_the_time_in_which_it_was_paused() -> None:
    """The caller needs time to send after the pause."""
    bench = bench_with_limit()
    found = begin_uploads(bench, 4)
    resumed, transport = found[1]
    resumed.last_used_at -= 10
    found[0][0].connection_lost(None)
    assert transport.is_reading
    now = found[3][0].last_used_at
    resumed.give_up_stalled_body(now, 3.0)
    assert not transport.written


def test_one_connection_holds_no_more_than_the_largest_body_ahead() -> None:
    """Bodies read ahead would hold several times as much."""
    bench = EntryHarness()
    new = configuration(route(may_repeat=False))
    new.limits = replace(CallerLimits(), body_bytes=LIMIT)
    bench.use(new)
    connection, transport = bench.connect()
    connection.data_received(upload('r-1', 800) + b'x' * 800)
    assert transport.is_reading
    connection.data_received(upload('r-2', 800) + b'x' * 300)
    assert not transport.is_reading
    bench.sent()[0].answer()
    assert transport.is_reading


def test_answers_that_the_caller_does_not_read_stop_its_requests() -> None:
    """They would fill the memory of the node without bound."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    connection.pause_writing()
    connection.data_received(request_bytes('r-1') + request_bytes('r-2'))
    assert not bench.sent()
    connection.resume_writing()
    assert len(bench.sent()) == 2


def test_request_that_fails_to_start_closes_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No answer would ever come, also to the requests behind it."""
    bench = EntryHarness(route(), route('buy', prefix='/b/', may_repeat=False))
    connection, transport = bench.connect()
    connection.data_received(
        request_bytes('r-1', method='POST', path='/b/1') + request_bytes('r-2')
    )

    def fail(*_arguments: object) -> None:
        raise RuntimeError

    monkeypatch.setattr(bench.entry, 'start_request', fail)
    bench.sent()[0].answer()
    assert 'RuntimeError()' in [
        fields.get('error')
        for kind, fields in bench.log.lines
        if kind == 'caller-connection-failed'
    ]
    assert transport.is_closed
    assert not connection.is_starting


@pytest.mark.parametrize('reason', [each for each in Reason if each.value])
def test_every_reason_has_a_refusal(reason: Reason) -> None:
    """One without would leave its caller without an answer."""
    assert refusal_bytes(reason).startswith(b'HTTP/1.1 ')


def test_answer_that_cannot_be_built_shifts_no_other() -> None:
    """The connection is aborted rather than answers moved up a place."""
    bench = EntryHarness(route())
    connection, transport = bench.connect()
    connection.data_received(request_bytes('a') + request_bytes('b'))
    broken: Any = 'no reason'
    connection.pending[0].write_refusal(broken)
    assert 'caller-connection-failed' in bench.log.kinds()
    bench.sent_for('b')[0].answer(body=b'body-b')
    assert transport.is_closed
    assert not transport.written
