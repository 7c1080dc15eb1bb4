"""Requests that come while a node stops, from its first to its last moment."""

import asyncio
import socket
from contextlib import suppress
from typing import Any

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import route
from path_standins import Host, MemoryStore
from stop_builders import (
    GRACE_SECONDS,
    StopWitness,
    expect_long_stop,
    learn_run_times,
    read_slowly,
    send_during_stop,
    spread_requests,
)
from test_path_nodes import run_with_hosts, wait_until

from boragetrestle_sidecar.close_reason import CloseReason
from boragetrestle_sidecar.outcome import OutcomeKind, Reason
from boragetrestle_sidecar.sidecar import MIN_STOP_SECONDS
from boragetrestle_sidecar.stop_window import StopWindow


def stopping_entry() -> EntryHarness:
    """Return an entry that closes in 1.5 s and sees only short requests through."""
    bench = EntryHarness(
        route(), route('buy', prefix='/buy/', may_repeat=False)
    )
    now = bench.clock.now
    bench.entry.is_stopping = True
    bench.entry.stop_window = StopWindow(now - 0.1, now + 1.5)
    return bench


# Guards against requests that a stopping node passes on and then cuts.
@pytest.mark.loopback
@pytest.mark.parametrize('time_left', [2000, 6000])
def test_request_late_in_a_stop_is_not_passed_on_and_cut(
    time_left: int,
) -> None:
    """A caller that reads slowly lets the stop last its whole grace period."""
    requests = spread_requests(18, start=0.1, time_left=time_left)

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_long_stop(hosts, run_seconds=1.5)
        await learn_run_times(hosts)
        witness = StopWitness(hosts)
        caller = await read_slowly(hosts[0])
        await send_during_stop(hosts[0], requests, witness)
        caller.close()
        assert len(witness.statuses) == len(requests)
        assert not witness.cut
        assert not witness.unanswered(requests)
        assert witness.served(requests, before=MIN_STOP_SECONDS)
        assert set(witness.statuses.values()) <= {200, 503, None}

    run_with_hosts(test)


# Guards against runs that a guard cuts when its node stops.
@pytest.mark.loopback
def test_requests_at_other_nodes_are_served_through_the_stop_of_a_guard() -> (
    None
):
    """Some of them run at the target beside the node that stops."""
    requests = spread_requests(18, time_left=6000)

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_long_stop(hosts, run_seconds=1.5)
        await learn_run_times(hosts)
        witness = StopWitness(hosts)
        caller = await read_slowly(hosts[0])
        await send_during_stop(hosts[0], requests, witness, entry=hosts[1])
        caller.close()
        assert witness.served(requests, before=GRACE_SECONDS)

    run_with_hosts(test)


# Guards against requests that a stopping node passes on and then cuts.
@pytest.mark.loopback
def test_steady_requests_through_a_stop_are_not_cut() -> None:
    """They alone keep the node up to the end of its grace period."""
    requests = spread_requests(54, every=0.1)

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_long_stop(hosts, run_seconds=0.8)
        await learn_run_times(hosts)
        witness = StopWitness(hosts)
        await send_during_stop(hosts[0], requests, witness)
        assert not witness.cut
        assert not witness.unanswered(requests)
        assert set(witness.statuses.values()) <= {200, 503, None}

    run_with_hosts(test)


@pytest.mark.parametrize(
    ('time_left', 'is_sent'), [(1400, True), (1600, False), (6000, False)]
)
@pytest.mark.parametrize('path', ['/walks/1', '/buy/1'])
def test_request_that_could_outlast_the_stop_is_refused_as_not_run(
    time_left: int,
    is_sent: bool,
    path: str,
) -> None:
    """Its caller may go to another node at once."""
    bench = stopping_entry()
    connection, transport = bench.connect()
    connection.data_received(request_bytes(path=path, time_left=time_left))
    assert bool(bench.sent()) == is_sent
    if not is_sent:
        assert transport.written.startswith(b'HTTP/1.1 503')
        assert b'"run": "not-run"' in transport.written
        assert b'retry-after: ' in transport.written
        assert transport.is_closed


# Guards against retries that end with the node.
@pytest.mark.parametrize(
    'kind', [OutcomeKind.UNKNOWN, OutcomeKind.REJECTED, OutcomeKind.NOT_SENT]
)
def test_retry_that_could_outlast_the_stop_is_not_sent(
    kind: OutcomeKind,
) -> None:
    """The request was sent on before callers had the time to move."""
    bench = stopping_entry()
    window = bench.entry.stop_window
    bench.entry.stop_window = StopWindow()
    connection, transport = bench.connect()
    connection.data_received(request_bytes(time_left=3000))
    bench.entry.stop_window = window
    (run,) = bench.sent()
    run.end(kind, Reason.CONNECTION_LOST)
    assert len(bench.sent()) == 1
    assert transport.written.startswith(b'HTTP/1.1 502')


# Guards against refusals in the place of what a target has answered.
def test_failure_that_a_target_answers_late_in_a_stop_is_passed_on() -> None:
    """It could be retried if the node had the time."""
    bench = stopping_entry()
    window = bench.entry.stop_window
    bench.entry.stop_window = StopWindow()
    connection, transport = bench.connect()
    connection.data_received(request_bytes(time_left=3000))
    bench.entry.stop_window = window
    bench.sent()[0].answer(500, b'own failure')
    assert transport.written.startswith(b'HTTP/1.1 500')
    assert transport.written.endswith(b'own failure')


# Guards against requests that are read when the node has decided to end.
@pytest.mark.loopback
def test_request_that_meets_the_end_of_a_stop_is_not_passed_on() -> None:
    """The event loop goes on for some rounds before the process is gone."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_long_stop(hosts, run_seconds=0.1)
        reader, writer = await asyncio.open_connection(hosts[0].ip, 7002)
        await hosts[0].node.stop()
        writer.write(request_bytes(time_left=500))
        with suppress(ConnectionError):
            assert not await reader.read()
        writer.close()
        assert not StopWitness(hosts).ran

    run_with_hosts(test)


@pytest.mark.parametrize(
    ('is_placed', 'status'), [(True, b'502'), (False, b'503')]
)
def test_request_left_at_the_end_of_a_stop_is_told_whether_it_may_have_run(
    is_placed: bool,
    status: bytes,
) -> None:
    """One that waits for tokens has not been sent to a target."""
    bench = EntryHarness()
    if not is_placed:
        rates: Any = bench.rates
        rates.take_token = lambda _policy: False
        rates.request_tokens = lambda *_call: None
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    assert bool(bench.sent()) == is_placed
    bench.entry.is_stopping = True
    bench.entry.finish_stop()
    assert transport.written.startswith(b'HTTP/1.1 ' + status)
    assert transport.is_closed
    assert not bench.entry.requests
    late, transport = bench.connect()
    late.data_received(request_bytes('r-2'))
    assert transport.written.startswith(b'HTTP/1.1 503')
    assert len(bench.sent()) == is_placed


# Guards against requests that end with the node, read and without an answer,
# since their caller has not taken the answers before.
def test_requests_behind_untaken_answers_are_refused_at_the_end_of_a_stop() -> (
    None
):
    """They were not sent to a target."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.pause_writing()
    connection.data_received(request_bytes('r-1') + request_bytes('r-2'))
    bench.entry.is_stopping = True
    bench.entry.finish_stop()
    connection.finish_stop()
    assert not bench.sent()
    assert transport.written.count(b'HTTP/1.1 503') == 2
    assert transport.is_closed


# Guards against uploads that end in a reset at the end of a stop.
def test_request_still_read_at_the_end_of_a_stop_is_refused() -> None:
    """Its caller may send it to another node at once."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    whole = request_bytes(method='POST', extra='Content-Length: 9\r\n')
    connection.data_received(whole + b'part')
    bench.entry.is_stopping = True
    bench.entry.finish_stop()
    connection.finish_stop()
    assert transport.written.startswith(b'HTTP/1.1 503')
    assert b'"run": "not-run"' in transport.written
    assert b'retry-after: ' in transport.written
    assert transport.is_closed


# Guards against requests that come as a stop ends and end in a reset.
@pytest.mark.loopback
def test_callers_that_send_as_a_stop_ends_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One has just connected, and the other has kept its connection."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        node = hosts[0].node
        address = hosts[0].ip, 7002
        callers = [socket.create_connection(address)]
        await wait_until(lambda: bool(node.entry.connections))
        refuse_all = node.entry.finish_stop

        def send_then_refuse() -> None:
            callers.append(socket.create_connection(address))
            for number, caller in enumerate(callers):
                caller.send(request_bytes(f'r-{number}'))
            refuse_all()

        monkeypatch.setattr(node.entry, 'finish_stop', send_then_refuse)
        await node.stop()
        for connection in list(node.entry.connections):
            connection.abort(CloseReason.STOP)  # as the end of the process
        for caller in callers:
            with caller:
                caller.settimeout(1.0)
                assert caller.recv(1000).startswith(b'HTTP/1.1 503')
        assert not StopWitness(hosts).ran

    run_with_hosts(test)
