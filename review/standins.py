"""Stand-ins of the users' platform for the scripts in this folder.

A ``Fleet`` starts nodes with the command of ``deploy/system.toml``, one process
a machine, each machine with a loopback address of its own. The store, the
upstreams, the clients and the operator are tasks of the script's process. Only
the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5
LONGEST_S = 115
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'StabilityMs': 3000,
    'AckMs': 4000,
    'SyncS': 4,
    'DrainMs': 2000,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'RollbackSlackMs': 250,
    'MaxStretchMs': 5000,
    'StrictRevoke': False,
    'RevokeMs': 5000,
    'RetryBudgetRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 50,
    'QuotaWindowS': 5,
    'QuotaOverage': 0.1,
    'QuotaSlack': 20,
    'RecoveryS': 15,
}
_REASONS = {200: 'OK', 400: 'Bad Request', 410: 'Gone', 412: 'Failed', 421: 'No'}


@dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    first: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message that has a length."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    pairs = (line.split(':', 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(first.split(' ', 2), headers, body)


def message_bytes(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a message in its wire format."""
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


def answer_bytes(status: int, body: bytes = b'', **headers: str) -> bytes:
    """Return an answer; ``_`` in names stands for ``-``."""
    named = {name.replace('_', '-'): value for name, value in headers.items()}
    first = f'HTTP/1.1 {status} {_REASONS.get(status, "Status")}'
    return message_bytes(first, named, body)


async def exchange(
    address: tuple[str, int],
    request: bytes,
    *,
    seconds: float,
) -> Message:
    """Send a request on a connection of its own and return the answer."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request)
            return await read_message(reader)
        finally:
            writer.transport.abort()


class Record:
    """Write ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / 'record.txt').open('w')
        self.began = time.monotonic()

    def write(self, kind: str, **fields: Any) -> None:
        """Write one line with the seconds since the script began."""
        shown = ' '.join(f'{name}={each}' for name, each in fields.items())
        self.file.write(f'{time.monotonic() - self.began:8.3f} {kind} {shown}\n')
        self.file.flush()


class Store:
    """The platform's store: rows with one counter, and a feed of changes."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.version = 0
        self.changed = asyncio.Condition()

    async def write(self, table: str, key: str, content: bytes) -> None:
        """Write a row, as the operator does."""
        value = base64.b64encode(content).decode()
        await self._apply([{'Table': table, 'Key': key, 'Value': value}], [])

    async def talk(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.transport.abort()

    async def _answer(self, request: Message) -> bytes:
        url = urlsplit(request.first[1])
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if url.path == '/rows-tx':
            return await self._commit(json.loads(request.body))
        if url.path == '/rows-get':
            return self._page(self._range(query))
        if url.path == '/rows-feed':
            return await self._feed(query)
        return answer_bytes(400)

    def _range(self, query: dict[str, str]) -> list[dict[str, Any]]:
        start, end = query.get('From', ''), query.get('To', '')
        return [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query['Table']
            and part == query.get('part', '')
            and key >= start
            and (not end or key < end)
        ]

    async def _feed(self, query: dict[str, str]) -> bytes:
        after, table = int(query['after']), query['Table']

        def newer() -> list[dict[str, Any]]:
            return [
                row
                for row in self.history
                if row['Table'] == table and row['Ver'] > after
            ]

        seconds = min(int(query.get('WaitMs', 0)), 30_000) / 1000
        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(newer)
        except TimeoutError:
            pass
        return self._page(newer())

    async def _commit(self, body: dict[str, Any]) -> bytes:
        expected = body.get('Expect') or []
        for wanted in expected:
            row = self.rows.get(_place(wanted), {'Ver': 0})
            if row['Ver'] != wanted['Ver']:
                found = [self.rows.get(_place(each)) for each in expected]
                return self._page([row for row in found if row], 412)
        await self._apply(body.get('Upserts') or [], body.get('Remove') or [])
        return self._page([])

    async def _apply(
        self,
        written: list[dict[str, Any]],
        removed: list[dict[str, Any]],
    ) -> None:
        self.version += 1
        for row in written:
            kept = {'part': '', **row, 'Ver': self.version}
            self.rows[_place(row)] = kept
            self.history.append(kept)
        for row in removed:
            self.rows.pop(_place(row), None)
            self.history.append(
                {'part': '', **row, 'Ver': self.version, 'Tombstone': True}
            )
        async with self.changed:
            self.changed.notify_all()

    def _page(self, rows: list[dict[str, Any]], status: int = 200) -> bytes:
        body = {
            'Rows': rows,
            'Ver': self.version,
            'NowMs': time.monotonic() * 1000,
            'HasMore': False,
        }
        encoded = json.dumps(body).encode()
        return answer_bytes(status, encoded, Content_Type='application/json')


def _place(row: dict[str, Any]) -> tuple[str, str, str]:
    return (row['Table'], row.get('part', ''), row['Key'])


@dataclass
class Run:
    """One request that an upstream began to work on."""

    request: str
    upstream: str
    service: str
    at: float
    headers: dict[str, str]
    method: str
    path: str


Work = Callable[['Upstream', Message], Awaitable[bytes]]


class Upstream:
    """One lifetime of an application upstream at its machine's address."""

    def __init__(
        self,
        machine: 'Machine',
        service: str,
        *,
        slots: int,
        work_s: float,
    ) -> None:
        self.machine = machine
        self.fleet = machine.fleet
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.body = b'x' * 1500
        self.id = f'i-{self.fleet.chance.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.free_slots = asyncio.Semaphore(slots)
        self.terms: dict[str, str] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.beats = True
        self.beat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen at the machine's address for its upstream, and send pings."""
        address = self.machine.address('App')
        self.server = await asyncio.start_server(self._talk, *address)
        self.beat_task = asyncio.create_task(self._beat())
        self.fleet.record.write(
            'upstream-started', upstream=self.id, service=self.service
        )

    def exit(self) -> None:
        """End the lifetime: the listener and all connections close."""
        if self.beat_task is not None:
            self.beat_task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.fleet.record.write('upstream-ended', upstream=self.id)

    def ping_bytes(self, **changes: Any) -> bytes:
        """Return the next ping in its wire format."""
        self.sequence += 1
        fields: dict[str, Any] = {
            'Address': '{}:{}'.format(*self.machine.address('App')),
            'Info': {
                'Service': self.service,
                'Version': 'v1',
                'Zone': self.machine.zone,
                'Slots': self.slots,
            },
            'Status': {
                'State': self.state,
                'Sequence': self.sequence,
                'ColdRemainingMs': 0,
            },
            'born': self.born,
            **changes,
        }
        return message_bytes(
            f'PUT /instances/{self.id} HTTP/1.1',
            {'Host': 'node', 'Content-Type': 'application/json'},
            json.dumps(fields).encode(),
        )

    async def ping(self, sent: bytes | None = None) -> bool:
        """Send a ping; return whether it was acknowledged."""
        sent = sent or self.ping_bytes()
        control = self.machine.address('Control')
        try:
            answer = await exchange(control, sent, seconds=1.0)
        except (OSError, EOFError, TimeoutError):
            return False
        return 200 <= answer.status < 300

    async def leave(self) -> bool:
        """Send DELETE; return whether it was acknowledged."""
        sent = message_bytes(
            f'DELETE /instances/{self.id} HTTP/1.1', {'Host': 'node'}, b''
        )
        return await self.ping(sent)

    async def _beat(self) -> None:
        while True:
            if self.beats:
                await self.ping()
            await asyncio.sleep(HEARTBEAT_S)

    async def _talk(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Message) -> bytes:
        headers = request.headers
        request_id = headers.get('x-request-id', '')
        wanted = headers.get('x-target-instance', self.id)
        if wanted != self.id:
            self.fleet.record.write('421', request=request_id, upstream=self.id)
            return answer_bytes(
                421, X_Request_Id=request_id, X_Not_Executed='1'
            )
        async with self.free_slots:
            method, path, _version = request.first
            run = Run(
                request_id,
                self.id,
                self.service,
                time.monotonic(),
                headers,
                method,
                path,
            )
            self.fleet.runs.append(run)
            self.fleet.record.write(
                'run',
                request=request_id,
                upstream=self.id,
                service=self.service,
                caller=headers.get('x-caller-service'),
            )
            await asyncio.sleep(self.work_s)
        return answer_bytes(
            200,
            self.body,
            X_Request_Id=request_id,
            X_Server_Seal='3e1b.07.5a2.600.0.c9f2a4d1',
            Keep_Alive='timeout=10',
            **self.terms,
        )


@dataclass
class Sent:
    """One client attempt and how it ended; ``status`` is 0 without an answer."""

    request: str
    route: str
    at: float
    status: int = 0
    ended_at: float = 0.0
    body_bytes: int = 0
    promised_bytes: int = 0
    error: str = ''

    @property
    def is_whole(self) -> bool:
        """Whether a complete answer came."""
        return bool(self.status) and self.body_bytes == self.promised_bytes


@dataclass
class Machine:
    """One machine: a node as a process, and a place for an upstream."""

    fleet: 'Fleet'
    number: int
    zone: str
    service: str
    ip: str
    ports: dict[str, int]
    process: asyncio.subprocess.Process | None = None
    upstream: Upstream | None = None
    ended: int = 0
    starts: int = 0
    log: Any = None
    settings: dict[str, Any] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """The machine's name in the settings."""
        return f'sidecar-{self.zone}-{self.number}'

    def address(self, name: str) -> tuple[str, int]:
        """Return one of the machine's addresses."""
        return (self.ip, self.ports[name])

    async def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        self.starts += 1
        shown = {
            name: f'{self.ip}:{self.ports[name]}'
            for name in ('Inbound', 'Outbound', 'Ready', 'Control')
        }
        settings = {
            'NodeName': self.name,
            'Role': 'node',
            'MachineClass': 'sidecar',
            'Serves': ['sidecar'],
            'Ip': self.ip,
            'Zone': self.zone,
            'Region': 'r',
            'Zones': {zone: 'r' for zone in self.fleet.zones},
            'ListenAddrs': shown,
            'InternalPortRange': [7000, 7015],
            'SeedNodes': [],
            'FirstStart': self.starts == 1,
            'InTolerance': False,
            'Limits': {
                'CpuShare': 0.86,
                'CpuCores': 2,
                'MemoryMb': self.fleet.memory_mb,
                'MaxFds': 4100,
                'BandwidthMbps': 1000.0,
                'DiskMb': 0,
            },
            'DataDir': None,
            'Discovery': 'local',
            'Entry': 'local',
            'HeartbeatMs': HEARTBEAT_S * 1000,
            'Bounds': BOUNDS,
            'AppAddr': f'{self.ip}:{self.ports["App"]}',
            'Service': self.service,
            'Provider': {
                'Address': '{}:{}'.format(*self.fleet.store_address),
                'form': 'table',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'TxMs': 3.0,
                'PartWritesPerS': 300,
                'RowBytes': 65536,
                'Across': True,
                'RetentionS': 20,
                'BlobBytes': 8388608,
                'BlobMs': 25.0,
                'BlobMbPerS': 80.0,
            },
        }
        path = self.fleet.folder / f'{self.name}.json'
        path.write_text(json.dumps(settings))
        if self.log is None:
            self.log = (self.fleet.folder / f'{self.name}.log').open('ab')
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'BORAGETRESTLE_SETTINGS': str(path),
        }
        self.process = await asyncio.create_subprocess_exec(
            *_deploy_command(),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            env=environment,
        )
        self.fleet.record.write(
            'node-started', node=self.name, process=self.process.pid
        )

    async def is_ready(self) -> bool:
        """Ask the node whether it is ready."""
        sent = message_bytes('GET /ready HTTP/1.1', {'Host': 'node'}, b'')
        try:
            answer = await exchange(self.address('Ready'), sent, seconds=1.0)
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, seconds: float = 15.0) -> None:
        """Wait until the node is ready."""
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.02)

    def signal(self, number: signal.Signals) -> None:
        """Send the node's process a signal."""
        assert self.process is not None
        self.fleet.record.write(
            'signal', node=self.name, signal=signal.Signals(number).name
        )
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill_and_restart(self, down_s: float = 0.2) -> None:
        """Kill the node, and start it again after a short delay."""
        self.signal(signal.SIGKILL)
        assert self.process is not None
        await self.process.wait()
        await asyncio.sleep(down_s)
        await self.start_node()

    async def start_upstream(self, **terms: Any) -> Upstream:
        """Start a new lifetime of an upstream."""
        service = terms.pop('service', self.service)
        self.upstream = Upstream(self, service, **terms)
        await self.upstream.start()
        return self.upstream

    async def send(
        self,
        route: str,
        *,
        host: str = 'shop.example',
        method: str = 'GET',
        deadline_ms: int = 6000,
        key: str | None = None,
        body: bytes = b'',
        request_id: str | None = None,
        reader_of: 'Callable[[asyncio.StreamReader, Sent], Awaitable[None]] | None' = None,
        receive_bytes: int | None = None,
    ) -> Sent:
        """Send one client attempt on a connection of its own."""
        chance = self.fleet.chance
        request_id = request_id or f'{chance.getrandbits(64):016x}'
        headers = {
            'Host': host,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
        }
        if key is not None:
            headers['Authorization'] = f'Bearer {key}'
        path = f'/{route}/{request_id}'
        sent = Sent(request_id, route, time.monotonic())
        self.fleet.sent[request_id] = sent
        self.fleet.record.write(
            'sent', request=request_id, node=self.name, method=method, path=path
        )
        request = message_bytes(f'{method} {path} HTTP/1.1', headers, body)
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                opened = socket.socket()
                opened.setblocking(False)
                if receive_bytes is not None:
                    opened.setsockopt(
                        socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
                    )
                loop = asyncio.get_running_loop()
                await loop.sock_connect(opened, self.address('Outbound'))
                reader, writer = await asyncio.open_connection(
                    sock=opened, limit=65536
                )
                writer.write(request)
                await self._read_answer(reader, sent, reader_of)
        except (OSError, EOFError, TimeoutError) as error:
            sent.error = repr(error)[:80]
        finally:
            if writer is not None:
                writer.transport.abort()
        sent.ended_at = time.monotonic()
        self.fleet.record.write(
            'answered',
            request=request_id,
            status=sent.status,
            body=sent.body_bytes,
            of=sent.promised_bytes,
            error=sent.error or '-',
        )
        return sent

    async def _read_answer(
        self,
        reader: asyncio.StreamReader,
        sent: Sent,
        reader_of: 'Callable[[asyncio.StreamReader, Sent], Awaitable[None]] | None',
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').strip().split('\r\n')
        pairs = (line.split(':', 1) for line in lines)
        headers = {name.lower(): value.strip() for name, value in pairs}
        sent.promised_bytes = int(headers.get('content-length', 0))
        sent.status = int(first.split()[1])
        if reader_of is not None:
            await reader_of(reader, sent)
        while sent.body_bytes < sent.promised_bytes:
            read = await reader.read(65536)
            if not read:
                raise EOFError('the connection ended amid the answer')
            sent.body_bytes += len(read)


def _deploy_command() -> list[str]:
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    (role,) = deploy['roles'].values()
    return role['run'].split()


def route(
    name: str,
    service: str,
    *,
    kind: str = 'idempotent',
    timeout_ms: int = 6000,
    target_ms: int = 3000,
    attempts: int = 2,
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        'ResourceType': 'Routes',
        'Metadata': {'Name': name},
        'Spec': {
            'Host': 'shop.example',
            'Prefix': f'/{name}/',
            'Service': service,
            'Kind': kind,
            'MaxAttempts': attempts,
            'TimeoutMs': timeout_ms,
            'TargetLatencyMs': target_ms,
            'Priority': 1,
        },
    }


class Fleet:
    """All machines of a small deployment, its store and its operator."""

    def __init__(self, folder: Path, *, memory_mb: int = 300) -> None:
        self.record = Record(folder)
        self.chance = random.Random()
        self.memory_mb = memory_mb
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self.temporary.name)
        self.net = (
            f'127.{self.chance.randint(16, 250)}.{self.chance.randint(1, 250)}'
        )
        self.zones = ['z-a', 'z-b', 'z-c']
        self.machines: list[Machine] = []
        self.runs: list[Run] = []
        self.sent: dict[str, Sent] = {}
        self.store = Store()
        self.store_address = ('', 0)
        self.version = 0

    async def __aenter__(self) -> 'Fleet':
        server = await asyncio.start_server(self.store.talk, f'{self.net}.250', 0)
        self.store_address = server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *_error: object) -> None:
        for machine in self.machines:
            if machine.upstream is not None:
                machine.upstream.exit()
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            os.makedirs(keep, exist_ok=True)
            for path in self.folder.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()

    def add_machine(self, service: str) -> Machine:
        """Add a machine with free ports."""
        number = len(self.machines) + 1
        ip = f'{self.net}.{number}'
        names = ('Inbound', 'Outbound', 'Ready', 'Control', 'App')
        ports = _free_ports(ip, names)
        zone = self.zones[number % len(self.zones)]
        machine = Machine(self, number, zone, service, ip, ports)
        self.machines.append(machine)
        return machine

    async def start(self) -> None:
        """Start all nodes and wait until they are ready."""
        for machine in self.machines:
            await machine.start_node()
        for machine in self.machines:
            await machine.wait_ready()

    async def configure(self, *resources: dict[str, Any]) -> None:
        """Write a new configuration, as the operator does."""
        self.version += 3
        limits = {
            'ResourceType': 'Limits',
            'Metadata': {'Name': 'limits'},
            'Spec': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 1048576,
                'HeaderTimeoutMs': 5000,
                'IdleTimeoutMs': 30000,
            },
        }
        services = [
            {
                'ResourceType': 'Services',
                'Metadata': {'Name': name},
                'Spec': {'HealthPath': '/health'},
            }
            for name in sorted({each.service for each in self.machines})
        ]
        document = {
            'Version': self.version,
            'Resources': [limits, *services, *resources],
        }
        self.record.write('configured', version=self.version)
        await self.store.write('op', 'config', json.dumps(document).encode())


def _free_ports(ip: str, names: tuple[str, ...]) -> dict[str, int]:
    ports = {}
    probes = []
    for name in names:
        probe = socket.socket()
        probe.bind((ip, 0))
        ports[name] = probe.getsockname()[1]
        probes.append(probe)
    for probe in probes:
        probe.close()
    return ports


async def _run(case: Callable[[Path], Awaitable[int]], folder: Path) -> int:
    task = asyncio.current_task()
    assert task is not None
    # A script that is stopped from outside ends its processes, too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(LONGEST_S):
        return await case(folder)


def run_case(case: Callable[[Path], Awaitable[int]], path: str) -> None:
    """Run a case and exit with its code, or with 2 if it could not run."""
    try:
        code = asyncio.run(_run(case, Path(path).resolve().parent))
    except BaseException as error:  # noqa: BLE001
        sys.stderr.write(f'the case could not run: {error!r}\n')
        traceback.print_exc()
        code = COULD_NOT_RUN
    sys.exit(code)
