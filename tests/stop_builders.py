"""Requests that callers send while a node stops, and what became of them."""

import asyncio
import socket
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from entry_builders import request_bytes
from path_standins import Host

from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.close_reason import CloseReason
from boragetrestle_sidecar.endpoint_server import EndpointAnswer
from boragetrestle_sidecar.steady_clock import steady_now

GRACE_SECONDS = 6.0
HEARTBEAT_SECONDS = 0.25
CROSSING_SECONDS = 0.2  # requests sent later may cross the close
LARGE_PATH = '/walks/large'
DOWNLOAD_BYTES = 10_000_000
LAST_BYTE = b'.'
LARGE_BODY = b'x' * (DOWNLOAD_BYTES - 1) + LAST_BYTE
RECEIVE_BYTES = 65_536  # small, so that most of a large answer stays unread
CALL_TIMEOUT_SECONDS = 10.0
PACE_BYTES = 100_000


class StopRequest(NamedTuple):
    """A request that is sent ``moment`` seconds after a stop began."""

    name: str
    moment: float
    is_kept: bool = False
    may_repeat: bool = True
    time_left: int = 2000

    def encode(self) -> bytes:
        """Return the bytes that the caller sends."""
        return request_bytes(
            self.name,
            path='/walks/1' if self.may_repeat else '/buy/1',
            method='GET' if self.may_repeat else 'POST',
            time_left=self.time_left,
            extra='' if self.may_repeat else 'Content-Length: 0\r\n',
        )


def spread_requests(
    count: int,
    *,
    start: float = 0.0,
    every: float = 0.3,
    time_left: int = 2000,
) -> list[StopRequest]:
    """Return requests on kept and new connections, half of them unrepeatable."""
    return [
        StopRequest(
            f'r-{number}',
            moment=start + number * every,
            is_kept=number % 2 == 0,
            may_repeat=number % 4 < 2,
            time_left=time_left,
        )
        for number in range(count)
    ]


@dataclass
class StopWitness:
    """What callers got, by the name of the request; None without an answer."""

    hosts: list[Host]
    statuses: dict[str, int | None] = field(default_factory=dict)
    stop_seconds: float = 0.0

    @property
    def ran(self) -> set[str]:
        """The requests that reached a target."""
        return {
            (run.header(b'call-id') or b'').decode()
            for host in self.hosts
            for run in host.target.runs
        }

    @property
    def cut(self) -> list[str]:
        """The requests that reached a target whose answer did not arrive."""
        return sorted(
            name
            for name, status in self.statuses.items()
            if status != 200 and name in self.ran
        )

    def served(self, requests: list[StopRequest], *, before: float) -> bool:
        """Return whether all that were sent before a moment were served."""
        return all(
            self.statuses[request.name] == 200
            for request in requests
            if request.moment < before
        )

    def unanswered(self, requests: list[StopRequest]) -> list[str]:
        """The requests without an answer that were sent before the end."""
        last = self.stop_seconds - CROSSING_SECONDS
        return [
            request.name
            for request in requests
            if request.moment < last and self.statuses[request.name] is None
        ]


def expect_long_stop(hosts: list[Host], *, run_seconds: float) -> None:
    """Give nodes their whole grace period and targets long runs."""
    for host in hosts:
        host.target.answers_after = run_seconds
        host.target.answer = _answer
        host.node.settings = replace(
            host.node.settings, stop_seconds=GRACE_SECONDS
        )


async def learn_run_times(hosts: list[Host]) -> None:
    """Let targets answer, so that their nodes know how long runs take."""
    async with asyncio.TaskGroup() as callers:
        for number in range(2 * len(hosts)):
            request = StopRequest(f'first-{number}', moment=0.0)
            witness = StopWitness(hosts)
            callers.create_task(
                _send(hosts[number % len(hosts)], request, None, witness)
            )


async def read_slowly(host: Host) -> socket.socket:
    """Begin a large download and return its connection, left unread."""
    caller = await begin_download(host, 'large')
    await asyncio.get_running_loop().sock_recv(caller, 1000)
    return caller


async def begin_download(host: Host, name: str) -> socket.socket:
    """Send a request for a large answer and return its connection."""
    loop = asyncio.get_running_loop()
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    caller.setblocking(False)
    await loop.sock_connect(caller, (host.ip, 7002))
    request = request_bytes(name, path=LARGE_PATH, time_left=60_000)
    await loop.sock_sendall(caller, request)
    return caller


async def read_at_pace(host: Host, name: str, *, seconds: float) -> int:
    """Read a download evenly; return how many bytes of its body came."""
    caller = await begin_download(host, name)
    loop = asyncio.get_running_loop()
    received = bytearray()
    while not received.endswith(LAST_BYTE):
        part = await loop.sock_recv(caller, PACE_BYTES)
        if not part:
            break
        received += part
        await asyncio.sleep(seconds * len(part) / DOWNLOAD_BYTES)
    caller.close()
    return len(received.partition(b'\r\n\r\n')[2])


async def send_during_stop(
    host: Host,
    requests: list[StopRequest],
    witness: StopWitness,
    *,
    entry: Host | None = None,
) -> None:
    """Stop a node while callers send, then close what is still open.

    Callers send to the node that stops, or to ``entry``.
    """
    taker = entry or host
    kept = {
        request.name: await asyncio.open_connection(taker.ip, 7002)
        for request in requests
        if request.is_kept
    }
    reporting = asyncio.create_task(_report(witness.hosts))
    async with asyncio.TaskGroup() as callers:
        stopping = callers.create_task(host.node.stop())
        for request in requests:
            callers.create_task(
                _send(taker, request, kept.get(request.name), witness)
            )
        began = steady_now()
        await stopping
        witness.stop_seconds = steady_now() - began
        for connection in list(host.node.entry.connections):
            connection.abort(CloseReason.STOP)  # as the end of the process
        for link in list(host.node.server.connections):
            link.abort()
    reporting.cancel()


async def _report(hosts: list[Host]) -> None:
    """Let the targets send heartbeats."""
    sequence = 1
    while True:
        sequence += 1
        for host in hosts:
            host.report(sequence=sequence)
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def _send(
    host: Host,
    request: StopRequest,
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None,
    witness: StopWitness,
) -> None:
    await asyncio.sleep(request.moment)
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            reader, writer = streams or await asyncio.open_connection(
                host.ip, 7002
            )
            writer.write(request.encode())
            head = await reader.readuntil(b'\r\n\r\n')
    except (OSError, EOFError):
        witness.statuses[request.name] = None
        return
    witness.statuses[request.name] = int(head.split()[1])
    writer.close()


def _answer(request: CallerRequest) -> EndpointAnswer:
    is_large = request.path == LARGE_PATH
    return EndpointAnswer(200, LARGE_BODY if is_large else b'whole')
