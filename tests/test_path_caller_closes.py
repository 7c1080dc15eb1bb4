"""Closes of callers' connections, and what may be open then.

``docs/design/closing-connections.md`` lists all ways with their tests.
"""

import asyncio
import os
import re
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import FakeTransport, LineLog, ManualClock, configuration
from path_standins import Host, MemoryStore
from test_path_nodes import run_with_hosts, wait_until
from test_path_stop import BODY, begin_download, expect_downloads, read_rest

from boragetrestle_sidecar import caller_connection
from boragetrestle_sidecar.body_budget import BodyBudget
from boragetrestle_sidecar.caller_connection import CallerConnection
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.close_reason import CloseReason
from boragetrestle_sidecar.configuration import Configuration
from boragetrestle_sidecar.endpoint_server import EndpointAnswer
from boragetrestle_sidecar.link_socket import unacknowledged_bytes
from boragetrestle_sidecar.sidecar import MAINTENANCE_INTERVAL_SECONDS

IDLE_SECONDS = CallerLimits().idle_seconds
SOCKET_BYTES = 200_000  # fits the buffer of a socket
SLOW_BYTES = 4_000
SLOW_SECONDS = 0.05
UPLOAD = request_bytes(method='POST', extra='Content-Length: 9\r\n')


def limits_of(**limits: Any) -> Configuration:
    """Return a newer configuration with other limits."""
    return configuration(version=2, limits=replace(CallerLimits(), **limits))


def answer_all(bench: EntryHarness) -> None:
    """Let the targets answer all that they were sent."""
    for run in bench.sent():
        run.answer()


def read_behind_unread_answers(
    bench: EntryHarness, connection: CallerConnection, _transport: Any
) -> None:
    """Hold a request of a caller that reads no answers."""
    connection.pause_writing()
    connection.data_received(request_bytes())
    assert not bench.sent()


def run_request(
    bench: EntryHarness, connection: CallerConnection, _transport: Any
) -> None:
    """Hold a request that its target has not answered."""
    connection.data_received(request_bytes())
    assert bench.sent()


def finish_behind_another(
    bench: EntryHarness, connection: CallerConnection, _transport: Any
) -> None:
    """Hold an answer that waits for one before it."""
    connection.data_received(request_bytes('a') + request_bytes('b'))
    bench.sent_for('b')[0].answer()


def write_slowly(
    bench: EntryHarness, connection: CallerConnection, transport: Any
) -> None:
    """Hold an answer that its caller takes slowly."""
    connection.data_received(request_bytes())
    answer_all(bench)
    transport.unflushed = 1000


OPEN_WORK: dict[str, Callable[[EntryHarness, CallerConnection, Any], None]] = {
    'read behind answers that nobody reads': read_behind_unread_answers,
    'running': run_request,
    'answered behind another': finish_behind_another,
    'answer taken slowly': write_slowly,
}


# Guards against a kept connection that closes as idle with a request on it.
@pytest.mark.parametrize('state', OPEN_WORK)
def test_connection_with_open_work_is_not_idle(
    state: str, clock: ManualClock
) -> None:
    """Its idle time begins when nothing is open any more."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    OPEN_WORK[state](bench, connection, transport)
    clock.now += 2 * IDLE_SECONDS
    connection.close_if_idle(clock.now, IDLE_SECONDS)
    assert not transport.is_closed
    connection.resume_writing()
    answer_all(bench)
    transport.unflushed = 0
    clock.now += IDLE_SECONDS / 2
    connection.close_if_idle(clock.now, IDLE_SECONDS)
    assert not transport.is_closed
    clock.now += IDLE_SECONDS
    connection.close_if_idle(clock.now, IDLE_SECONDS)
    assert transport.is_closed


# Guards against a body that is taken for idle while it comes slowly.
def test_body_that_comes_slowly_is_not_idle(clock: ManualClock) -> None:
    """Each part starts the idle time anew."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(UPLOAD + b'a')
    clock.now += 2 * IDLE_SECONDS
    connection.data_received(b'b')
    connection.close_if_idle(clock.now + 1, IDLE_SECONDS)
    assert not transport.is_closed


# Guards against a close that is counted again at each check.
def test_connection_is_closed_as_idle_once(clock: ManualClock) -> None:
    """The transport may take a while to close."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    clock.now += 2 * IDLE_SECONDS
    for _ in range(3):
        connection.close_if_idle(clock.now, IDLE_SECONDS)
    closes = '', 'connection-closed', CloseReason.IDLE.value
    assert bench.entry.telemetry.events[closes] == 1


# Guards against an idle limit that a configuration shortens, and that closes
# connections that their callers still use by the limit before.
def test_shorter_idle_limit_holds_from_the_next_use(clock: ManualClock) -> None:
    """A request may be on its way to a connection of the earlier limit."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    bench.entry.configure(limits_of(idle_seconds=1.0))
    clock.now += IDLE_SECONDS / 2
    connection.close_if_idle(clock.now, 1.0)
    assert not transport.is_closed
    connection.data_received(request_bytes())
    answer_all(bench)
    clock.now += 3
    connection.close_if_idle(clock.now, 1.0)
    assert transport.is_closed


def test_connection_of_an_earlier_limit_closes_by_it(
    clock: ManualClock,
) -> None:
    """It is closed at the end of the limit that held at its last use."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    bench.entry.configure(limits_of(idle_seconds=1.0))
    clock.now += IDLE_SECONDS + 2
    connection.close_if_idle(clock.now, 1.0)
    assert transport.is_closed


# Guards against answers that are cut because their caller has sent more behind
# the request that closes the connection.
@pytest.mark.loopback
@pytest.mark.parametrize('behind', [request_bytes('r-2'), b'x' * 200_000])
def test_last_answer_arrives_whole_before_unread_bytes(behind: bytes) -> None:
    """A socket that is closed with unread bytes is reset."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_downloads(hosts)
        caller, start = await begin_download(
            hosts[0], extra='Connection: close\r\n'
        )
        await asyncio.sleep(0.3)
        loop = asyncio.get_running_loop()
        sending = asyncio.ensure_future(loop.sock_sendall(caller, behind))
        assert await read_rest(caller, start) == BODY
        await sending
        assert not await loop.sock_recv(caller, 1)
        caller.close()
        await wait_until(lambda: not hosts[0].node.entry.connections)

    run_with_hosts(test)


# Guards against an answer that leaves the process and is cut by its socket.
@pytest.mark.loopback
def test_answer_that_is_taken_slowly_is_whole_although_more_is_sent() -> None:
    """The system holds the end of it for longer than the connection lingers."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        body = b'x' * SOCKET_BYTES
        hosts[0].target.answer = lambda _request: EndpointAnswer(200, body)
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        caller.setblocking(False)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BYTES)
        await loop.sock_connect(caller, (hosts[0].ip, 7002))
        sent = request_bytes('r-1', extra='Connection: close\r\n')
        await loop.sock_sendall(caller, sent)
        received = b''
        while not received.endswith(body):
            with suppress(ConnectionError):
                await loop.sock_sendall(caller, b'x')
            part = await loop.sock_recv(caller, SLOW_BYTES)
            if not part:
                break
            received += part
            await asyncio.sleep(SLOW_SECONDS)
        assert len(received.partition(b'\r\n\r\n')[2]) == SOCKET_BYTES
        caller.close()

    run_with_hosts(test, hosts=1)


# Guards against a stop that fails where sockets don't tell what they hold.
def test_socket_that_does_not_tell_what_it_holds_counts_as_empty() -> None:
    """A file is no socket."""
    transport: Any = FakeTransport()
    with Path(os.devnull).open() as opened:
        transport.get_extra_info = lambda _name: opened
        assert not unacknowledged_bytes(transport)


# Guards against a stalled body whose refusal overtakes an answer before it.
def test_stalled_body_is_refused_behind_the_answers_before_it() -> None:
    """The connection closes after both."""
    bench = EntryHarness()
    bench.entry.bodies = BodyBudget(100)
    stalled, transport = bench.connect()
    upload = request_bytes(method='POST', extra='Content-Length: 500\r\n')
    stalled.data_received(request_bytes('a') + upload + b'x' * 200)
    bench.connect()[0].data_received(upload + b'x' * 100)
    stalled.give_up_stalled_body(stalled.last_used_at + 4, 3.0)
    assert not transport.written
    answer_all(bench)
    assert transport.written.startswith(b'HTTP/1.1 200')
    assert b'HTTP/1.1 408' in transport.written
    assert transport.is_closed


# Guards against an answer that is cut when its caller closes its sending side.
@pytest.mark.loopback
def test_half_closed_connection_gets_what_was_answered() -> None:
    """The rest of the answer lies in the buffer of the connection."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_downloads(hosts)
        caller, start = await begin_download(hosts[0])
        caller.shutdown(socket.SHUT_WR)
        assert await read_rest(caller, start) == BODY
        caller.close()

    run_with_hosts(test)


# Guards against runs that go on for a caller that has closed its connection.
def test_half_closed_connection_cancels_what_runs() -> None:
    """A caller that has gone looks the same."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    connection.data_received(request_bytes())
    assert not connection.eof_received()
    connection.connection_lost(None)
    assert [hop.cancelled for hop in bench.hops.values() if hop.sent] == [[1]]


# Guards against closes and time limits that a step of the wall clock moves.
def test_only_what_outlasts_a_process_reads_the_wall_clock() -> None:
    """Leaves and crashes of targets; all else uses clocks that nobody sets."""
    sources = Path(caller_connection.__file__).parent.rglob('*.py')
    wall_clock = re.compile(r'\btime\.time\b|datetime|CLOCK_REALTIME')
    users = {
        path.name for path in sources if wall_clock.search(path.read_text())
    }
    assert users == {'guard.py', 'suspect_archive.py'}


# Guards against callers that can't tell whether a request ran of which the node
# got a part only.
@pytest.mark.parametrize('sent', [b'GET /walks/1 HT', UPLOAD + b'abc'])
def test_request_that_stops_midway_is_refused(
    sent: bytes, clock: ManualClock
) -> None:
    """The refusal promises that it did not run."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(sent)
    clock.now += 2 * IDLE_SECONDS
    connection.close_if_idle(clock.now, IDLE_SECONDS)
    assert transport.written.startswith(b'HTTP/1.1 408 ')
    assert transport.is_closed


# Guards against requests that cross a close and are read and dropped, which
# their callers may then not send again.
@pytest.mark.loopback
@pytest.mark.parametrize('reason', [CloseReason.IDLE, CloseReason.STOP])
def test_request_that_crosses_an_unannounced_close_stays_unread(
    reason: CloseReason,
) -> None:
    """The kernel tells its caller by a reset."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setblocking(False)
            await loop.sock_connect(caller, (hosts[0].ip, 7002))
            await wait_until(lambda: bool(hosts[0].node.entry.connections))
            (connection,) = hosts[0].node.entry.connections
            log = LineLog()
            hosts[0].node.entry.log = log
            caller.send(request_bytes())
            connection.close(reason)
            with pytest.raises(ConnectionResetError):
                await loop.sock_recv(caller, 1)
        assert not hosts[0].target.runs
        closes = dict(log.lines)['caller-connection-closed']
        assert closes['unread_bytes'] == len(request_bytes())

    run_with_hosts(test)


# Guards against whole answers that go with a connection on which a later request
# fails, and against runs that go on behind it.
def test_failure_sends_the_answers_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What is written lies in the buffer; what runs is cancelled."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes('a') + request_bytes('b'))
    bench.sent_for('a')[0].answer(body=b'first')
    monkeypatch.delattr(transport.__class__, 'abort')
    monkeypatch.delattr(bench.entry.__class__, 'start_request')
    connection.data_received(request_bytes('c'))
    assert 'caller-connection-failed' in bench.log.kinds()
    assert transport.written.endswith(b'first')
    assert transport.is_closed
    assert not bench.entry.requests
    assert sum(len(hop.cancelled) for hop in bench.hops.values()) == 1


# Guards against a host that was held up and closes connections as idle before it
# reads the requests that have come meanwhile.
@pytest.mark.loopback
def test_request_that_came_while_the_node_was_held_up_is_answered() -> None:
    """The event loop reads before it runs timers."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        node = hosts[0].node
        loop = asyncio.get_running_loop()
        caller = socket.create_connection((hosts[0].ip, 7002))
        await wait_until(lambda: len(node.entry.connections) == 1)
        (connection,) = node.entry.connections
        caller.sendall(request_bytes())
        connection.last_used_at -= 10 * IDLE_SECONDS
        time.sleep(2 * MAINTENANCE_INTERVAL_SECONDS)
        caller.setblocking(False)
        answer = await loop.sock_recv(caller, 1000)
        assert answer.startswith(b'HTTP/1.1 200')
        caller.close()

    run_with_hosts(test)


# Guards against bodies that fill the memory for as long as their connection takes
# to close.
def test_closing_connection_holds_no_body() -> None:
    """Others that were paused for it are read on."""
    bench = EntryHarness()
    bench.entry.bodies = BodyBudget(100)
    closing, transport = bench.connect()
    chunked = request_bytes(
        method='POST', extra='Transfer-Encoding: chunked\r\n'
    )
    closing.data_received(chunked + b'64\r\n' + b'x' * 100)
    other, other_transport = bench.connect()
    other.data_received(UPLOAD + b'x')
    assert not other_transport.is_reading
    closing.data_received(b'no chunk\r\n')
    assert transport.is_closed
    assert other_transport.is_reading
    assert bench.entry.bodies.held_bytes == 1
