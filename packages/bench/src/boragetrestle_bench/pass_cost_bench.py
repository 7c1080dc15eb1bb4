"""Processor time of the request path through nodes, per request and idle.

The nodes share the measured process. Their targets and callers run in another
process, so that its processor time is not counted.
"""

import asyncio
import gc
import multiprocessing
import os
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from boragetrestle_bench.figure import Figure
from boragetrestle_bench.registry import benchmark
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.digest import digest_key
from boragetrestle_kernel.errors import WireError
from boragetrestle_kernel.ids import (
    DomainName,
    NodeId,
    RouteName,
    ServiceName,
    TargetId,
    Version,
)
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.policies import Policies
from boragetrestle_platform.table import Committed, Put, Row, Transaction
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.configuration import Configuration
from boragetrestle_sidecar.decision_log import DecisionLog, open_log
from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
from boragetrestle_sidecar.path_settings import PathSettings
from boragetrestle_sidecar.route_policy import RoutePolicy, ServiceShare
from boragetrestle_sidecar.sidecar import Sidecar
from boragetrestle_sidecar.store_client import TableChanges, TableView
from boragetrestle_sidecar.target_report import TargetReport, TargetState
from boragetrestle_sidecar.wire_names import WireNames

_NODES = 3
_SETTLE_SECONDS = 2.5
_WARM_SECONDS = 1.0
_IDLE_SECONDS = 4.0
_LOADED_SECONDS = 8.0
# About the runs a second of a node in the deployments: more would let requests
# share iterations of the event loop.
_REQUESTS_PER_NODE_SECOND = 80.0
_CALLERS_PER_NODE = 4
_RUN_SECONDS = 0.02
_HEARTBEAT_SECONDS = 1.0
_POLL_SECONDS = 0.2
_MICROSECONDS = 1_000_000
_SLOTS = 16
_ANSWER_BYTES = 300
_RATE = 1_000_000.0  # of the organisation: it never runs out of tokens
_TIME_LIMIT_SECONDS = 2.0
_ID_BITS = 128
_PAUSE_SPREAD = 0.5
_TARGET_PORT = 7001
_CALLERS_PORT = 7002
_SERVICE = ServiceName('walks')
_KEY = 'measured'
_NAMES = WireNames(
    request_id=b'call-id',
    time_left=b'time-left',
    target_answer_marker=b'seal',
    organisation=b'organisation',
    expected_target=b'target',
    not_run=b'not-run',
    stated_load=b'load',
    rate_limit=b'rate-limit',
    leaving=b'leaving',
    caller_service=b'caller',
    key_scheme=b'bearer',
)


class _Store:
    """A table store in memory."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, Row]] = {}
        self.changed: list[tuple[str, str, Row | None]] = []

    def write(self, table: str, key: str, content: bytes | None) -> None:
        """Put a row, or remove it if there is no content."""
        rows = self.tables.setdefault(table, {})
        row = None
        if content is None:
            rows.pop(key, None)
        else:
            row = Row(key, content, len(self.changed) + 1)
            rows[key] = row
        self.changed.append((table, key, row))

    async def view(self, table: str, *, part: str = '') -> TableView:
        """Return all rows of one part of a table."""
        rows = tuple(self.tables.get(f'{table}{part}', {}).values())
        return TableView(rows, len(self.changed), 1)

    async def changes(
        self, table: str, position: int, *, wait: float
    ) -> TableChanges:
        """Return the changes since a position, after up to ``wait`` seconds."""
        for _ in range(int(wait / _POLL_SECONDS)):
            if any(name == table for name, _, _ in self.changed[position:]):
                break
            await asyncio.sleep(_POLL_SECONDS)
        changed = {
            key: row
            for name, key, row in self.changed[position:]
            if name == table
        }
        return TableChanges(
            tuple(row for row in changed.values() if row),
            tuple(key for key, row in changed.items() if row is None),
            len(self.changed),
            1,
        )

    async def commit(
        self,
        table: str,
        transaction: Transaction,
        *,
        part: str = '',
    ) -> Committed:
        """Apply the writes of a transaction."""
        table = f'{table}{part}'
        for write in transaction.writes:
            content = write.content if isinstance(write, Put) else None
            self.write(table, write.key, content)
        return Committed(True, 0.0)


class _Adapter:
    """An adapter with one route and one organisation."""

    names = _NAMES
    config_table = 'operators'
    config_key = 'configuration'
    evacuation_prefix = 'evacuate/'

    def __init__(self, settings: PathSettings, store: _Store) -> None:
        self.settings = settings
        self.store = store

    def load_settings(self) -> PathSettings:
        """Return the settings."""
        return self.settings

    def decode_configuration(self, document: bytes) -> Configuration:
        """Return the configuration of the measurement."""
        return Configuration(
            version=Version(int(document)),
            document=document,
            routes=(
                RoutePolicy(
                    name=RouteName('browse'),
                    host='example',
                    prefix='/walks/',
                    shares=(ServiceShare(_SERVICE, 1.0),),
                    may_repeat=True,
                    time_limit=_TIME_LIMIT_SECONDS,
                    goal=1.0,
                    max_attempts=2,
                    priority=1,
                    needs_key=True,
                ),
            ),
            organisations=(
                OrganisationPolicy(
                    terms=Organisation('acacia', rate=_RATE, burst=_RATE),
                    key_digests=frozenset((digest_key(_KEY),)),
                    priority=0,
                    is_limited=True,
                ),
            ),
        )

    def decode_target_call(self, _request: CallerRequest) -> TargetReport:
        """Refuse all calls: targets report to the guard directly."""
        raise WireError('no call', remedy='report to the guard')

    def open_store(self, _caller: Any) -> _Store:
        """Return the store."""
        return self.store


def _address(node: int, port: int) -> Address:
    return Address(f'127.8.0.{node + 1}', port)


def _settings(node: int) -> PathSettings:
    return PathSettings(
        node=NodeId(f'node-{node}'),
        domain=DomainName('a'),
        service=_SERVICE,
        callers=_address(node, _CALLERS_PORT),
        peers=_address(node, _CALLERS_PORT + 1),
        ready=_address(node, _CALLERS_PORT + 2),
        control=_address(node, _CALLERS_PORT + 3),
        metrics=_address(node, _CALLERS_PORT + 4),
        target=_address(node, _TARGET_PORT),
        store=_address(node, _CALLERS_PORT + 5),
    )


class _Target(asyncio.Protocol):
    """A connection of a target that answers each request after a while."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        self.transport: Any = transport

    def data_received(self, received: bytes) -> None:
        """Answer one request; guards send each in one piece, without body."""
        number = received.partition(b'call-id: ')[2].partition(b'\r\n')[0]
        answer = (
            b'HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSeal: s\r\n'
            b'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s'
            % (number, _ANSWER_BYTES, b'x' * _ANSWER_BYTES)
        )
        asyncio.get_running_loop().call_later(
            _RUN_SECONDS, self.transport.write, answer
        )


async def _call(node: int, until: float, chance: random.Random) -> int:
    """Send requests over one connection; return how many were answered."""
    address = _address(node, _CALLERS_PORT)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    answered = 0
    pause = _CALLERS_PER_NODE / _REQUESTS_PER_NODE_SECOND
    due = time.monotonic() + chance.random() * pause
    while time.monotonic() < until:
        await asyncio.sleep(due - time.monotonic())
        due += pause * chance.uniform(_PAUSE_SPREAD, 2 - _PAUSE_SPREAD)
        writer.write(
            b'GET /walks/%d?from=1 HTTP/1.1\r\nHost: example\r\n'
            b'Call-Id: %032x\r\nAuthorization: Bearer %s\r\n'
            b'Time-Left: 1500\r\nAccept: application/json\r\n'
            b'User-Agent: measurement\r\n\r\n'
            % (answered, chance.getrandbits(_ID_BITS), _KEY.encode())
        )
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2]
        await reader.readexactly(int(length.partition(b'\r\n')[0]))
        answered += head.startswith(b'HTTP/1.1 200')
    writer.close()
    return answered


async def _surround(pipe: Any) -> None:
    """Run the targets, and callers for the periods that the pipe names."""
    loop = asyncio.get_running_loop()
    for node in range(_NODES):
        address = _address(node, _TARGET_PORT)
        await loop.create_server(_Target, address.host, address.port)
    pipe.send(0)
    chance = random.Random(1)
    while True:
        seconds = await loop.run_in_executor(None, pipe.recv)
        if not seconds:
            return
        until = time.monotonic() + seconds
        answered = await asyncio.gather(
            *(
                _call(node, until, chance)
                for node in range(_NODES)
                for _ in range(_CALLERS_PER_NODE)
            )
        )
        pipe.send(sum(answered))


def _run_surroundings(pipe: Any) -> None:
    asyncio.run(_surround(pipe))


async def _report_targets(nodes: list[Sidecar]) -> None:
    sequence = 0
    while True:
        sequence += 1
        for node in nodes:
            node.guard.handle_heartbeat(
                TargetReport(
                    target=TargetId(node.settings.node),
                    service=_SERVICE,
                    address=node.settings.target,
                    domain=node.settings.domain,
                    slots=_SLOTS,
                    state=TargetState.READY,
                    started_at=1,
                    sequence=sequence,
                )
            )
        await asyncio.sleep(_HEARTBEAT_SECONDS)


async def _measure_nodes(
    pipe: Any,
    log: DecisionLog,
    watch: Callable[[bool], None],
) -> tuple[float, float]:
    loop = asyncio.get_running_loop()
    store = _Store()
    store.write('operators', 'configuration', b'1')
    nodes = [
        Sidecar(_Adapter(_settings(node), store), log) for node in range(_NODES)
    ]
    await loop.run_in_executor(None, pipe.recv)
    for node in nodes:
        await node.start()
    gc.freeze()
    reports = loop.create_task(_report_targets(nodes))
    await asyncio.sleep(_SETTLE_SECONDS)
    pipe.send(_WARM_SECONDS)
    await loop.run_in_executor(None, pipe.recv)
    before = time.process_time()
    await asyncio.sleep(_IDLE_SECONDS)
    idle = (time.process_time() - before) / _IDLE_SECONDS
    watch(True)
    before = time.process_time()
    began = time.monotonic()
    pipe.send(_LOADED_SECONDS)
    answered = await loop.run_in_executor(None, pipe.recv)
    used = time.process_time() - before
    loaded = time.monotonic() - began
    watch(False)
    reports.cancel()
    for node in nodes:
        node.close()
    pipe.send(0)
    return idle / _NODES, (used - idle * loaded) / answered


def run(watch: Callable[[bool], None]) -> tuple[float, float]:
    """Return the seconds of an idle second of a node, and of a request.

    ``watch`` is called at the start and the end of the loaded period, for
    profilers.
    """
    context = multiprocessing.get_context('spawn')
    pipe, other_pipe = context.Pipe()
    surroundings = context.Process(target=_run_surroundings, args=(other_pipe,))
    surroundings.start()
    descriptor = os.open(os.devnull, os.O_WRONLY)
    try:
        return asyncio.run(_measure_nodes(pipe, open_log(descriptor), watch))
    finally:
        gc.unfreeze()
        surroundings.join(timeout=_WARM_SECONDS)
        surroundings.kill()


@benchmark('pass-cost', is_virtual=False, has_policies=False)
def measure(_policies: Policies, _seed: int) -> Sequence[Figure]:
    """Measure three linked nodes under paced requests, and while idle."""
    idle, request = run(lambda _is_loaded: None)
    return [
        Figure('processor time of a request, us', request * _MICROSECONDS),
        Figure('processor time of an idle second, us', idle * _MICROSECONDS),
    ]
