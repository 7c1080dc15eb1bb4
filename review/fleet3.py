"""A small fleet for the scripts of the third review.

Nodes are real processes, started as the deploy file says, on loopback addresses
of their own. The store, the servers and the clients are stand-ins that run in
the process of the script and follow the users' pages. All that clients, servers
and the platform see is written to ``record.txt``.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
METRICS_PORT = 9464  # fixed by the deploy file
STORE_PORT = 7000
APP, OUTBOUND, INBOUND, READY, CONTROL = 7001, 7002, 7003, 7004, 7005
HEARTBEAT_SECONDS = 1.5
PING_SECONDS = 1.0  # an acknowledgement that comes later does not count
GRACE_SECONDS = 6
RESTART_SECONDS = 0.5
READY_SECONDS = 20.0


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Lines of what was sent, answered and run, with their seconds."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open('w')

    def write(self, kind: str, **fields: object) -> None:
        """Write one line."""
        shown = ' '.join(f'{name}={each}' for name, each in fields.items())
        now = time.monotonic() - self.began
        self.file.write(f'{now:8.3f} {kind} {shown}\n')
        self.file.flush()


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
    """Read a message whose body has a length or chunks."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip('\r\n').split('\r\n')
    pairs = (line.split(':', 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int(await reader.readuntil(b'\r\n'), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b'\r\n')
    else:
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
    return Message(first.split(' ', 2), headers, body)


def answer_bytes(status: int, body: bytes = b'', **headers: str) -> bytes:
    """Return an answer; ``_`` in names stands for ``-``."""
    lines = [f'HTTP/1.1 {status} S']
    lines += [f'{n.replace("_", "-")}: {each}' for n, each in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


Handler = Callable[[Message], Awaitable[bytes | None]]


async def serve(
    host: str, port: int, handler: Handler, opened: set | None = None
) -> asyncio.Server:
    """Answer requests; ``None`` from the handler closes the connection."""

    async def talk(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if opened is not None:
            opened.add(writer)
        try:
            while True:
                answer = await handler(await read_message(reader))
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError, ValueError):
            return
        finally:
            if opened is not None:
                opened.discard(writer)
            writer.transport.abort()

    return await asyncio.start_server(talk, host, port, limit=2**20)


class Store:
    """The platform's table service."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.feed: list[dict] = []
        self.version = 0
        self.began = time.monotonic()
        self.changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator does."""
        row = {'Table': table, 'part': '', 'Key': key}
        await self._apply([{**row, 'Value': b64encode(value).decode()}], [])

    async def remove(self, table: str, key: str) -> None:
        """Remove a row as the operator does."""
        await self._apply([], [{'Table': table, 'part': '', 'Key': key}])

    async def handle(self, request: Message) -> bytes:
        """Answer one call."""
        url = urlsplit(request.first[1])
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == '/rows-tx':
            return await self._commit(json.loads(request.body))
        if url.path == '/rows-get':
            return self._get(query)
        if url.path == '/rows-feed':
            return await self._feed(query)
        if url.path == '/rows-parts':
            parts = {p for t, p, _ in self.rows if t == query['Table']}
            return self._answer(200, {'parts': sorted(parts)})
        return answer_bytes(404)

    def _get(self, query: dict[str, str]) -> bytes:
        place = (query['Table'], query.get('part', ''))
        start, end = query.get('From', ''), query.get('To', '')
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if (table, part) == place
            and key >= start
            and (not end or key < end)
        ]
        most = min(500, int(query.get('Limit') or 500))
        body = {'Rows': found[:most], 'HasMore': len(found) > most}
        return self._answer(200, body)

    async def _feed(self, query: dict[str, str]) -> bytes:
        after, table = int(query['after']), query['Table']
        wait = min(30.0, int(query.get('WaitMs', 0)) / 1000)

        def found() -> list[dict]:
            return [
                row
                for row in self.feed
                if row['Table'] == table and row['Ver'] > after
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(found)
        return self._answer(200, {'Rows': found()})

    async def _commit(self, body: dict) -> bytes:
        for wanted in body.get('Expect', []):
            row = self.rows.get(_place(wanted))
            if (row['Ver'] if row else 0) != wanted['Ver']:
                rows = [
                    self.rows[_place(each)]
                    for each in body['Expect']
                    if _place(each) in self.rows
                ]
                return self._answer(412, {'Rows': rows})
        await asyncio.sleep(0.003)
        await self._apply(body.get('Upserts', []), body.get('Remove', []))
        return self._answer(200, {})

    async def _apply(self, written: list[dict], removed: list[dict]) -> None:
        self.version += 1
        for row in written:
            kept = {'part': '', **row, 'Ver': self.version}
            self.rows[_place(row)] = kept
            self.feed.append(kept)
        for row in removed:
            if self.rows.pop(_place(row), None) is not None:
                gone = {'part': '', 'Value': '', **row, 'Tombstone': True}
                self.feed.append({**gone, 'Ver': self.version})
        async with self.changed:
            self.changed.notify_all()

    def _answer(self, status: int, body: dict) -> bytes:
        now = (time.monotonic() - self.began) * 1000
        shown = {'Ver': self.version, 'NowMs': round(now), **body}
        encoded = json.dumps(shown).encode()
        return answer_bytes(status, encoded, Store_Era='1')


def _place(row: dict) -> tuple[str, str, str]:
    return (row['Table'], row.get('part', ''), row['Key'])


class Server:
    """The upstream on one machine; it runs requests and sends pings."""

    def __init__(self, machine: 'Machine', service: str, slots: int) -> None:
        self.machine = machine
        self.record = machine.fleet.record
        self.service = service
        self.slots = slots
        self.id = ''
        self.born = 0
        self.sequence = 0
        self.state = 'ready'
        self.pings = True
        self.runs: list[tuple[float, str, str]] = []  # time, request, instance
        self.callers: dict[str, str] = {}  # X-Caller-Service by request
        self.work_seconds: Callable[[Message], float] = lambda _sent: 0.05
        self.headers: dict[str, str] = {}
        self.opened: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None
        self.answer_size = 20
        self.serve_run: Handler | None = None

    @property
    def address(self) -> str:
        """Where the server listens."""
        return f'{self.machine.ip}:{APP}'

    async def start(self, identity: str = '') -> None:
        """Begin a new lifetime."""
        self.id = identity or f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.listener = await serve(
            self.machine.ip, APP, self._answer, self.opened
        )
        self.record.write('server-started', id=self.id, at=self.address)

    def crash(self) -> None:
        """End without a word."""
        assert self.listener is not None
        self.listener.close()
        for writer in list(self.opened):
            writer.transport.abort()
        self.record.write('server-crashed', id=self.id)

    async def keep_pinging(self) -> None:
        """Send pings for ever."""
        while True:
            if self.pings and self.listener and self.listener.is_serving():
                await self.ping()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def ping_bytes(self) -> bytes:
        """Return the next ping."""
        self.sequence += 1
        body = json.dumps({
            'Address': self.address,
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
        }).encode()
        head = (
            f'PUT /instances/{self.id} HTTP/1.1\r\nHost: node\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body

    async def ping(self) -> bool:
        """Send a ping; return whether it was acknowledged in time."""
        state = self.state
        acked = await self._tell(self.ping_bytes())
        if state != 'ready':
            self.record.write('ping', id=self.id, state=state, acked=acked)
        return acked

    async def leave(self) -> bool:
        """Say that it leaves."""
        head = f'DELETE /instances/{self.id} HTTP/1.1\r\nHost: node\r\n\r\n'
        acked = await self._tell(head.encode())
        self.record.write('left', id=self.id, acked=acked)
        return acked

    async def _tell(self, request: bytes) -> bool:
        return await tell((self.machine.ip, CONTROL), request)

    async def _answer(self, request: Message) -> bytes | None:
        sent = request.headers
        request_id = sent.get('x-request-id', '')
        wanted = sent.get('x-target-instance', self.id)
        if wanted != self.id:
            self.record.write('misdirected', request=request_id, id=self.id)
            return answer_bytes(
                421, X_Request_Id=request_id, X_Instance_Id=self.id
            )
        identity = self.id
        self.runs.append((time.monotonic(), request_id, identity))
        self.callers[request_id] = sent.get('x-caller-service', '')
        self.record.write(
            'run',
            request=request_id,
            id=identity,
            state=self.state,
            at=self.machine.name,
            caller=self.callers[request_id],
            bytes=len(request.body),
        )
        if self.serve_run is not None:
            return await self.serve_run(request)
        await asyncio.sleep(self.work_seconds(request))
        return self.success(request)

    def success(self, request: Message) -> bytes:
        """Return the answer to a request that ran."""
        return answer_bytes(
            200,
            b'x' * self.answer_size,
            X_Request_Id=request.headers.get('x-request-id', ''),
            X_Server_Seal='s.1',
            **self.headers,
        )


async def tell(address: tuple[str, int], request: bytes) -> bool:
    """Send a call; return whether it was acknowledged within a second."""
    try:
        async with asyncio.timeout(PING_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(request)
                return (await read_message(reader)).status // 100 == 2
            finally:
                writer.transport.abort()
    except (OSError, EOFError, TimeoutError):
        return False


@dataclass
class Machine:
    """A machine: its address, its node's process and its server."""

    fleet: 'Fleet'
    number: int
    zone: str
    service: str
    slots: int = 16
    memory_mb: int = 300
    process: asyncio.subprocess.Process | None = None
    keeps_running: bool = True
    is_planned: bool = False
    ends: list[int] = field(default_factory=list)
    first_start: bool = True

    def __post_init__(self) -> None:
        self.ip = f'{self.fleet.prefix}.{self.number}'
        self.name = f'node-{self.number}'
        self.server = Server(self, self.service, self.slots)
        self.store_port = STORE_PORT + self.number
        self.store_address = f'{self.fleet.prefix}.250:{self.store_port}'
        self.peer_port = INBOUND
        self.polled_at = 0.0
        self.is_lost = False
        self.is_turned_away = False

    def settings(self) -> dict:
        """Return the settings file, with the fields that the pages name."""
        return {
            'NodeName': self.name,
            'Role': 'node',
            'MachineClass': 'sidecar',
            'Serves': ['sidecar'],
            'Ip': self.ip,
            'Zone': self.zone,
            'Region': 'r',
            'Zones': {zone: 'r' for zone in sorted(self.fleet.zones)},
            'ListenAddrs': {
                'Inbound': f'{self.ip}:{self.peer_port}',
                'Outbound': f'{self.ip}:{OUTBOUND}',
                'Ready': f'{self.ip}:{READY}',
                'Control': f'{self.ip}:{CONTROL}',
            },
            'InternalPortRange': [7100, 7115],
            'SeedNodes': [],
            'FirstStart': self.first_start,
            'Limits': {
                'CpuShare': 0.86,
                'CpuCores': 2,
                'MemoryMb': self.memory_mb,
                'MaxFds': 4100,
                'BandwidthMbps': 1000.0,
                'DiskMb': 0,
            },
            'HeartbeatMs': int(HEARTBEAT_SECONDS * 1000),
            'Bounds': {
                'StabilityMs': 3000,
                'AckMs': 4000,
                'DrainMs': 2000,
                'GraceS': GRACE_SECONDS,
                'ConfigApplyMs': 2000,
                'RetryBudgetRatio': 0.2,
                'RetryWindowS': 10,
                'RetrySlack': 50,
                'QuotaWindowS': 5,
                'QuotaOverage': 0.1,
                'QuotaSlack': 20,
                **self.fleet.bounds,
            },
            'AppAddr': f'{self.ip}:{APP}',
            'Service': self.service,
            'Provider': {
                'Address': self.store_address,
                'form': 'table',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
            },
        }

    async def call_store(self, request: Message) -> bytes | None:
        """Pass a call of the node on to the store."""
        if self.is_turned_away:
            return answer_bytes(503)
        if request.first[1].startswith('/rows-feed'):
            self.polled_at = time.monotonic()
        return await self.fleet.store.handle(request)

    def lose(self) -> None:
        """Let the machine lose power for good, with its server."""
        self.is_lost = True
        self.keeps_running = False
        self.server.pings = False
        self.server.crash()
        self.signal(signal.SIGKILL)
        self.fleet.record.write('machine-lost', node=self.name)

    async def run(self) -> None:
        """Start the process, and start it again when it ends."""
        path = self.fleet.folder / f'{self.name}.json'
        command = shlex.split(self.fleet.command)
        while self.keeps_running:
            path.write_text(json.dumps(self.settings()))
            log = (self.fleet.folder / f'{self.name}.log').open('ab')
            self.is_planned = False
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': str(self.fleet.folder),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BORAGETRESTLE_SETTINGS': str(path),
                },
            )
            log.close()
            self.fleet.record.write('node-started', node=self.name)
            code = await self.process.wait()
            self.first_start = False
            planned = self.is_planned
            if not planned:
                self.ends.append(code)
            self.fleet.record.write(
                'node-ended', node=self.name, code=code, sent_signal=planned
            )
            await asyncio.sleep(RESTART_SECONDS)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is None or self.process.returncode is not None:
            return
        if number in {signal.SIGKILL, signal.SIGTERM}:
            self.is_planned = True
        self.fleet.record.write(
            'signal', node=self.name, name=signal.Signals(number).name
        )
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        return await tell(
            (self.ip, READY), b'GET /ready HTTP/1.1\r\nHost: n\r\n\r\n'
        )

    def status_mb(self, name: str) -> float:
        """Return a size that the kernel states of the process."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        with contextlib.suppress(OSError):
            text = Path(f'/proc/{self.process.pid}/status').read_text()
            for line in text.splitlines():
                if line.startswith(name + ':'):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0


class Fleet:
    """Machines, the store and the operator."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.command = deploy['roles']['node']['run']
        self.prefix = _free_prefix()
        self.store = Store(record)
        self.machines: list[Machine] = []
        self.tasks: list[asyncio.Task] = []
        self.version = 0
        self.zones = ['z-a', 'z-b', 'z-c']
        self.bounds: dict[str, object] = {}
        self.routes: list[dict] = []
        self.tenants: list[dict] = []
        self.limits = {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        }
        self.listeners: list[asyncio.Server] = []

    def add(self, service: str = 'svc', **terms: object) -> Machine:
        """Add a machine."""
        number = len(self.machines) + 1
        zone = self.zones[(number - 1) % len(self.zones)]
        machine = Machine(self, number, zone, service, **terms)
        self.machines.append(machine)
        return machine

    async def start(self) -> None:
        """Start the store, the servers and the nodes; wait until ready."""
        await self.configure()
        for machine in self.machines:
            place = (f'{self.prefix}.250', machine.store_port)
            self.listeners.append(await serve(*place, machine.call_store))
            await machine.server.start()
            self._start(machine.run())
            self._start(machine.server.keep_pinging())
        await self.wait_until_ready()
        await asyncio.sleep(3.5)  # links, loads and pings

    def _start(self, job) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(job))

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are ready."""
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            ready = [await each.is_ready() for each in self.machines]
            if all(ready):
                return
            await asyncio.sleep(0.2)
        raise NotRunError('the nodes are not ready')

    async def configure(self) -> int:
        """Write a newer configuration as the operator does."""
        self.version += 3
        services = {machine.service for machine in self.machines}
        resources = [
            *self.routes,
            *(
                _resource('Services', name, {
                    'HealthPath': '/health',
                    'MaxConnections': 460,
                    'Protocol': 'h1',
                    'Tls': False,
                })
                for name in sorted(services)
            ),
            *self.tenants,
            _resource('Limits', '', self.limits),
        ]
        document = {'Version': self.version, 'Resources': resources}
        await self.store.put('op', 'config', json.dumps(document).encode())
        self.record.write('config-acknowledged', version=self.version)
        return self.version

    async def stop(self) -> None:
        """End all processes that were started."""
        for machine in self.machines:
            machine.keeps_running = False
            process = machine.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for listener in self.listeners:
            listener.close()


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route of a configuration."""
    spec = {
        'Host': 'shop.example',
        'Prefix': prefix,
        'Kind': kind,
        'TimeoutMs': 4000,
        'TargetLatencyMs': 1500,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': 2,
        'Public': False,
    }
    return _resource('Routes', name, {**spec, **more})


def tenant(name: str, *keys: str, rate: float = 0, burst: float = 0) -> dict:
    """Return a tenant of a configuration."""
    spec = {'ApiKeys': list(keys), 'RatePerS': rate, 'Burst': burst}
    return _resource('Tenants', name, spec)


def _resource(kind: str, name: str, spec: dict) -> dict:
    return {'ResourceType': kind, 'Metadata': {'Name': name}, 'Spec': spec}


def _free_prefix() -> str:
    """Return the start of loopback addresses that nobody uses."""
    for _ in range(200):
        prefix = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            for port in (STORE_PORT + 1, METRICS_PORT):
                with socket.socket() as probe:
                    probe.bind((f'{prefix}.250', port))
        except OSError:
            continue
        return prefix
    raise NotRunError('no free loopback addresses')


def new_id() -> str:
    """Return an id for one attempt of a client."""
    return f'{random.getrandbits(64):016x}'


@dataclass
class Attempt:
    """What a client saw of one attempt."""

    request_id: str
    sent_at: float
    status: int = 0  # 0: no complete answer
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)
    seconds: float = 0.0
    error: str = ''


def request_bytes(
    path: str,
    request_id: str,
    *,
    method: str = 'GET',
    deadline_ms: int = 5000,
    key: str = '',
    body: bytes = b'',
    **headers: str,
) -> bytes:
    """Return a request of a client."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
    ]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    lines += [f'{n.replace("_", "-")}: {each}' for n, each in headers.items()]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def send(
    machine: Machine,
    path: str,
    *,
    seconds: float = 6.0,
    quiet: bool = False,
    **terms,
) -> Attempt:
    """Send one request on a connection of its own; note what comes back."""
    record = machine.fleet.record
    attempt = Attempt(new_id(), time.monotonic())
    if not quiet:
        record.write(
            'sent', request=attempt.request_id, to=machine.name, path=path
        )
    request = request_bytes(path, attempt.request_id, **terms)
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(
                machine.ip, OUTBOUND
            )
            try:
                writer.write(request)
                answer = await read_message(reader)
            finally:
                writer.transport.abort()
        attempt.status = answer.status
        attempt.body = answer.body
        attempt.headers = answer.headers
    except (OSError, EOFError, TimeoutError) as error:
        attempt.error = type(error).__name__
    attempt.seconds = time.monotonic() - attempt.sent_at
    if not quiet:
        record.write(
            'answered',
            request=attempt.request_id,
            status=attempt.status,
            error=attempt.error or '-',
            after=f'{attempt.seconds:.3f}',
        )
    return attempt


def main(case: Callable[[Fleet, bool], Awaitable[str]]) -> None:
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if not run.

    The case returns what broke, or an empty text.
    """
    place = Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    record = Record(place / 'record.txt')

    async def play() -> str:
        fleet = Fleet(folder, record)
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(115):
                return await case(fleet, has_trouble)
        finally:
            await fleet.stop()

    try:
        broken = asyncio.run(play())
        code = BROKEN if broken else HELD
        verdict = f'broken: {broken}' if broken else 'held'
    except (Exception, asyncio.CancelledError) as error:
        # Whatever went wrong in the script shows nothing about the nodes.
        code, verdict = NOT_RUN, f'not run: {error!r}'
    record.write('verdict', trouble=has_trouble, result=verdict)
    if os.environ.get('KEEP'):
        print(f'settings and logs of the nodes: {folder}')
    else:
        shutil.rmtree(folder, ignore_errors=True)
    print(verdict)
    sys.exit(code)
