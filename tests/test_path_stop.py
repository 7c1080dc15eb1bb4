"""What a node that stops still owes to callers and to other nodes."""

import asyncio
import socket
from dataclasses import replace
from typing import Any

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import FakeTransport, GuardHarness
from path_standins import Host, MemoryStore
from test_path_nodes import run_with_hosts, wait_until

from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.endpoint_server import EndpointAnswer
from boragetrestle_sidecar.peer_server import PeerConnection, PeerServer
from boragetrestle_sidecar.sidecar import MIN_STOP_SECONDS

BODY = b'x' * 8_000_000
RECEIVE_BYTES = 65_536


def large_answer(_request: CallerRequest) -> EndpointAnswer:
    """Answer with a body that is larger than buffers of the kernel."""
    return EndpointAnswer(200, BODY)


def expect_downloads(hosts: list[Host]) -> None:
    """Let targets give large answers and nodes take their time to stop."""
    for host in hosts:
        host.target.answer = large_answer
        host.node.settings = replace(host.node.settings, stop_seconds=6.0)


async def begin_download(
    host: Host, *, extra: str = ''
) -> tuple[socket.socket, bytes]:
    """Send a request and return its connection, of which little is read."""
    loop = asyncio.get_running_loop()
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    caller.setblocking(False)
    await loop.sock_connect(caller, (host.ip, 7002))
    sent = request_bytes(time_left=60_000, extra=extra)
    await loop.sock_sendall(caller, sent)
    return caller, await loop.sock_recv(caller, 1000)


async def read_rest(caller: socket.socket, start: bytes) -> bytes:
    """Return the body of an answer of which the start has been read."""
    loop = asyncio.get_running_loop()
    received = bytearray(start)
    while not received.endswith(BODY[-1:]) or len(received) < len(BODY):
        received += await loop.sock_recv(caller, 1_000_000)
    return bytes(received).partition(b'\r\n\r\n')[2]


# Guards against answers that a planned stop cuts while callers read them.
@pytest.mark.loopback
def test_stop_waits_until_a_slow_caller_has_its_answer() -> None:
    """The answer lies in the buffer of the connection."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_downloads(hosts)
        node = hosts[0].node
        caller, start = await begin_download(hosts[0])
        await wait_until(lambda: not node.entry.requests)
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(MIN_STOP_SECONDS + 0.4)
        assert not stopping.done()
        assert await read_rest(caller, start) == BODY
        await asyncio.wait_for(stopping, timeout=0.5)
        caller.close()

    run_with_hosts(test)


@pytest.mark.loopback
def test_stop_does_not_wait_for_a_caller_that_has_gone() -> None:
    """It will never read the rest."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_downloads(hosts)
        node = hosts[0].node
        caller, _start = await begin_download(hosts[0])
        await wait_until(lambda: not node.entry.requests)
        caller.close()
        await asyncio.wait_for(node.stop(), timeout=MIN_STOP_SECONDS + 0.5)

    run_with_hosts(test)


@pytest.mark.parametrize(
    'received',
    [
        request_bytes()[:20],
        request_bytes(method='POST', extra='Content-Length: 9\r\n', body='abc'),
    ],
)
def test_request_that_is_still_read_is_owed_an_answer(received: bytes) -> None:
    """Its caller may have sent the rest already."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    assert not connection.owes_answers
    connection.data_received(received)
    assert connection.owes_answers


def test_request_that_runs_is_owed_an_answer() -> None:
    """Until the answer has left the connection's buffer."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    assert connection.owes_answers
    transport.unflushed = 10
    (sent,) = bench.sent()
    sent.answer()
    assert connection.owes_answers
    transport.unflushed = 0
    assert not connection.owes_answers


def test_answer_that_another_node_has_not_taken_yet_is_owed() -> None:
    """It lies in the buffer of the link."""
    bench = GuardHarness()
    nobody: Any = None
    server = PeerServer(bench.guard, nobody, bench.log)
    assert not server.owes_outcomes
    connection = PeerConnection(server)
    transport: Any = FakeTransport()
    connection.connection_made(transport)
    assert not server.owes_outcomes
    transport.unflushed = 10
    assert server.owes_outcomes
    connection.connection_lost(None)
    assert not server.owes_outcomes
