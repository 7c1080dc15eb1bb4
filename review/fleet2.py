"""A small deployment for the cases of the second review.

The nodes are the project's own programs, started as processes with the command
of the deploy file. The store, the targets (back ends), the operator and the
callers are stand-ins in this process. Everything listens on loopback addresses.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = 'walks.example'
KEY = 'key-of-acacia'
TENANT = 'acacia'
READY_SECONDS = 15.0
RESTART_SECONDS = 0.5  # the platform starts an ended process again soon
PORTS = {
    'Inbound': 7003,
    'Outbound': 7002,
    'Ready': 7004,
    'Control': 7005,
}
TARGET_PORT = 7001
METRICS_PORT = 9464
# As on the sheet of the smallest installation.
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
STABILITY_SECONDS = BOUNDS['StabilityMs'] / 1000
DRAIN_SECONDS = BOUNDS['DrainMs'] / 1000
GRACE_SECONDS = BOUNDS['GraceS']


class NotRunError(Exception):
    """The case could not be run."""


class Record:
    """Lines of what was sent, answered and run, with the time of each."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = path.open('w')

    def now(self):
        return time.monotonic() - self.began

    def write(self, kind, **fields):
        shown = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.file.write(f'{self.now():8.3f} {kind} {shown}\n')

    def close(self):
        self.file.close()


class Message:
    """A request or an answer; header names are in lower case."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first[1])


async def read_message(reader):
    """Read a message with a length; raise ``EOFError`` when it is cut."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    pairs = (line.split(':', 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(first.split(' ', 2), headers, body)


def message(first, body=b'', **headers):
    """Return the bytes of a message; ``_`` in names stands for ``-``."""
    lines = [first]
    lines += [f'{key.replace("_", "-")}: {value}' for key, value in headers.items()]
    lines += [f'content-length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


async def call(address, request, seconds):
    """Send a request on a connection of its own and return the answer."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request)
            return await read_message(reader)
        finally:
            writer.transport.abort()


class Server:
    """An HTTP/1.1 server; ``None`` from the handler closes the connection."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self._talk, host, port)

    def end(self):
        """Stop listening and break all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _talk(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                answer = await self.handler(await read_message(reader))
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store of rows: versions, transactions and a feed."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.server = Server(self._handle)

    async def put(self, table, key, content):
        value = base64.b64encode(content).decode()
        row = {'Table': table, 'part': '', 'Key': key, 'Value': value}
        await self._apply([row], [])

    async def _handle(self, request):
        url = urlsplit(request.first[1])
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == '/rows-tx':
            return self._answer(*await self._commit(json.loads(request.body)))
        if url.path == '/rows-get':
            return self._answer(200, self._range(query))
        if url.path == '/rows-feed':
            return self._answer(*await self._feed(query))
        return self._answer(404, [])

    def _range(self, query):
        first, end = query.get('From', ''), query.get('To', '')
        return [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if (table, part) == (query['Table'], query.get('part', ''))
            and first <= key
            and (not end or key < end)
        ]

    async def _feed(self, query):
        after = int(query['after'])
        seconds = min(int(query['WaitMs']) / 1000, 30.0)

        def news():
            return [
                row
                for row in self.history
                if row['Table'] == query['Table'] and row['Ver'] > after
            ]

        if after > self.version:
            return 410, []
        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(news)
        except TimeoutError:
            return 200, []
        return 200, news()

    async def _commit(self, body):
        known = []
        is_due = True
        for wanted in body['Expect']:
            place = (wanted['Table'], wanted['part'], wanted['Key'])
            row = self.rows.get(place)
            is_due &= (row['Ver'] if row else 0) == wanted['Ver']
            known += [row] if row else []
        if not is_due:
            return 412, known
        await self._apply(body['Upserts'], body['Remove'])
        return 200, []

    async def _apply(self, written, removed):
        self.version += 1
        for row in written:
            kept = {**row, 'Ver': self.version}
            self.rows[row['Table'], row['part'], row['Key']] = kept
            self.history.append(kept)
        for row in removed:
            self.rows.pop((row['Table'], row['part'], row['Key']), None)
            gone = {**row, 'Ver': self.version, 'Tombstone': True}
            self.history.append(gone)
        async with self.changed:
            self.changed.notify_all()

    def _answer(self, status, rows):
        body = {
            'Rows': rows,
            'Ver': self.version,
            'NowMs': time.monotonic() * 1000,
            'HasMore': False,
        }
        return message(
            f'HTTP/1.1 {status} -',
            json.dumps(body).encode(),
            content_type='application/json',
        )


class Target:
    """An application back end beside a node."""

    def __init__(self, fleet, number, service, slots=40):
        self.fleet = fleet
        self.number = number
        self.ip = fleet.ip(number)
        self.service = service
        self.slots = slots
        self.starts = 0
        self.sequence = 0
        self.state = 'ready'
        self.beats = True
        self.is_up = False
        self.work_seconds = (0.02, 0.08)
        self.headers = {}
        self.kills = None  # a request that crashes the target, by its path
        self.down_seconds = 1.5
        self.on_run = None
        self.server = Server(self._answer)
        self.tasks = set()

    async def start(self, *, keeps_id=False, cold_seconds=0.0):
        """Begin a new lifetime."""
        self.starts += 1
        if not keeps_id:
            self.id = f'i-{self.number}-{self.starts}'
        self.cold_until = time.monotonic() + cold_seconds
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.headers = {}
        self.is_up = True
        self.beats = True
        await self.server.listen(self.ip, TARGET_PORT)
        self.fleet.record.write('target-started', id=self.id)
        self.spawn(self._beat(self.starts))

    def spawn(self, job):
        task = asyncio.create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def end(self, why):
        """End at once, with all that runs."""
        self.is_up = False
        self.server.end()
        self.fleet.record.write('target-ended', id=self.id, why=why)

    def ping(self):
        """Return the next ping as bytes."""
        self.sequence += 1
        body = {
            'Address': f'{self.ip}:{TARGET_PORT}',
            'Info': {
                'Service': self.service,
                'Version': 'v1',
                'Zone': self.fleet.zone(self.number),
                'Slots': self.slots,
            },
            'Status': {
                'State': self.state,
                'Sequence': self.sequence,
                'ColdRemainingMs': self._cold_ms(),
            },
            'born': self.born,
        }
        return message(
            f'PUT /instances/{self.id} HTTP/1.1',
            json.dumps(body).encode(),
            host='node',
            content_type='application/json',
        )

    def _cold_ms(self):
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    async def tell(self, request, kind):
        """Send a call to the node; return whether it was acknowledged."""
        try:
            answer = await call((self.ip, PORTS['Control']), request, 1.0)
        except (OSError, EOFError, TimeoutError) as error:
            self.fleet.record.write(kind, id=self.id, answer=repr(error))
            return False
        self.fleet.record.write(kind, id=self.id, answer=answer.status)
        return 200 <= answer.status < 300

    async def _beat(self, start):
        while self.is_up and self.starts == start:
            if self.beats:
                await self.tell(self.ping(), 'ping')
            await asyncio.sleep(1.5)

    async def _answer(self, request):
        headers = request.headers
        request_id = headers.get('x-request-id', '')
        wanted = headers.get('x-target-instance')
        if not self.is_up:
            return None
        if request.first[1] == '/health':
            status = 200 if self.state == 'ready' else 503
            return message(f'HTTP/1.1 {status} -', x_instance_id=self.id)
        if wanted is not None and wanted != self.id:
            return message(
                'HTTP/1.1 421 -',
                x_request_id=request_id,
                x_instance_id=self.id,
            )
        target = self.id
        self.fleet.note_run(request_id, target, headers, request.first)
        if self.on_run is not None:
            self.on_run(self, request_id, request)
        if self.kills is not None and request.first[1].startswith(self.kills):
            self.crash(request_id)
            return None
        await asyncio.sleep(random.uniform(*self.work_seconds))
        return message(
            'HTTP/1.1 200 OK',
            body_of(request_id),
            x_request_id=request_id,
            x_server_seal=f'seal-{target}',
            **self.headers,
        )

    def crash(self, request_id):
        """Crash, as the request makes each target do; come back later."""
        self.end(f'crashed-by-{request_id}')

        async def come_back():
            await asyncio.sleep(self.down_seconds)
            await self.start()

        self.spawn(come_back())


def body_of(request_id):
    """Return the only right answer to a request."""
    return f'answer to {request_id}'.encode() * 8


class Node:
    """One node process of the project, started again when it ends."""

    def __init__(self, fleet, number, service):
        self.fleet = fleet
        self.number = number
        self.ip = fleet.ip(number)
        self.service = service
        self.process = None
        self.is_first = True
        self.started_at = 0.0
        self.disturbed_at = 0.0
        self.is_over = False
        self.ends = []
        self.expects_end = False
        self.is_held_down = False
        self.keeper = None
        self.path = fleet.folder / f'{number}.json'

    def settings(self):
        fleet = self.fleet
        return {
            'NodeName': f'sidecar-{self.number}',
            'Role': 'node',
            'MachineClass': 'sidecar',
            'Serves': ['sidecar'],
            'Ip': self.ip,
            'Zone': fleet.zone(self.number),
            'Region': 'tt-south',
            'Zones': {zone: 'tt-south' for zone in fleet.zones},
            'ListenAddrs': {
                name: f'{self.ip}:{port}' for name, port in PORTS.items()
            },
            'InternalPortRange': [7000, 7015],
            'SeedNodes': [],
            'FirstStart': self.is_first,
            'InTolerance': False,
            'Limits': {
                'CpuShare': 0.86,
                'CpuCores': 2,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'BandwidthMbps': 1000.0,
                'DiskMb': 0,
            },
            'DataDir': None,
            'Discovery': 'local',
            'Entry': 'local',
            'HeartbeatMs': 1500,
            'Contracts': fleet.contracts,
            'FaultTolerance': {'Machines': 1, 'Zones': 0, 'Regions': 0},
            'Bounds': fleet.bounds,
            'AppAddr': f'{self.ip}:{TARGET_PORT}',
            'Service': self.service,
            'Provider': {
                'Address': f'{fleet.store_ip}:{fleet.store_port}',
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

    def run(self):
        self.keeper = asyncio.create_task(self._keep())

    async def _keep(self):
        """Start the process, and start it again whenever it ends."""
        while not self.is_over:
            if self.is_held_down:
                await asyncio.sleep(0.02)
                continue
            self.path.write_text(json.dumps(self.settings()))
            self.is_first = False
            self.expects_end = False
            log = (self.fleet.folder / f'{self.number}.log').open('ab')
            self.started_at = self.disturbed_at = time.monotonic()
            self.process = await asyncio.create_subprocess_exec(
                *self.fleet.command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self.fleet.environment(self.path),
            )
            log.close()
            self.fleet.record.write('node-started', node=self.number)
            code = await self.process.wait()
            self.fleet.record.write('node-ended', node=self.number, code=code)
            if not self.expects_end and not self.is_over:
                self.ends.append(code)
            await asyncio.sleep(RESTART_SECONDS)

    def signal(self, number):
        """Send a signal to the process of this node."""
        self.disturbed_at = time.monotonic()
        self.fleet.record.write('signal', node=self.number, name=number.name)
        if self.process is None or self.process.returncode is not None:
            return
        if number in {signal.SIGKILL, signal.SIGTERM}:
            self.expects_end = True
        self.process.send_signal(number)

    async def restart_as_planned(self):
        """SIGTERM, SIGKILL after the grace period; wait for the new process."""
        process = self.process
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        while self.process is process:
            await asyncio.sleep(0.02)
        await self.wait_until_ready()

    async def is_ready(self):
        request = message('GET /ready HTTP/1.1', host='node')
        try:
            answer = await call((self.ip, PORTS['Ready']), request, 1.0)
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_until_ready(self):
        until = time.monotonic() + READY_SECONDS
        while not await self.is_ready():
            if time.monotonic() > until:
                raise NotRunError(f'node {self.number} is not ready')
            await asyncio.sleep(0.05)

    def in_touch_at(self):
        """Return from when this machine counts as in touch."""
        return self.disturbed_at + STABILITY_SECONDS

    async def end(self):
        self.is_over = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.keeper is not None:
            self.keeper.cancel()


class Sent:
    """One request of a caller and its end."""

    def __init__(self, request_id, node, path, sent_at):
        self.request_id = request_id
        self.node = node
        self.path = path
        self.sent_at = sent_at
        self.status = 0  # no answer
        self.is_whole = False
        self.ended_at = None
        self.error = ''


class Run:
    """One arrival of a request at a target that began to work on it."""

    def __init__(self, request_id, target, at, headers):
        self.request_id = request_id
        self.target = target
        self.at = at
        self.headers = headers


class Fleet:
    """Store, operator, nodes, targets and callers."""

    zones = ('tt-south-a', 'tt-south-b', 'tt-south-c')

    def __init__(self, case, services, bounds=None, contracts=None):
        self.case = case
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.contracts = contracts or [
            'base', 'drain', 'config', 'cost', 'retry', 'recover',
            'pressure', 'tenants', 'quota', 'platform',
        ]
        self.record = Record(case / 'record.txt')
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self.temporary.name)
        self.services = services
        self.net = self._free_net(len(services))
        self.store_ip, self.store_port = self.ip(250), 7000
        self.store = Store()
        self.version = 0
        self.sent = {}
        self.runs = []
        self.numbers = itertools.count(1)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (role,) = deploy['roles'].values()
        self.command = role['run'].split(' ')
        self.targets = {}
        self.nodes = {}
        for number, service in enumerate(services, 1):
            self.nodes[number] = Node(self, number, service)
            self.targets[number] = Target(self, number, service)

    def ip(self, number):
        return f'{self.net}.{number}'

    def zone(self, number):
        return self.zones[(number - 1) % len(self.zones)]

    def _free_net(self, count):
        """Choose loopback addresses on which all ports are free."""
        for _ in range(50):
            net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
            places = [
                (f'{net}.{number}', port)
                for number in range(1, count + 1)
                for port in (*PORTS.values(), TARGET_PORT, METRICS_PORT)
            ]
            if all(map(_is_free, [*places, (f'{net}.250', 7000)])):
                return net
        raise NotRunError('no free loopback addresses')

    def environment(self, settings):
        """Return the environment that the platform gives a process."""
        passed = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        return {
            **passed,
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'BORAGETRESTLE_SETTINGS': str(settings),
        }

    async def start(self, calm_seconds=3.5):
        if not (ROOT / 'target' / 'deps').is_dir():
            raise NotRunError('target/deps is missing: run the build first')
        await self.store.server.listen(self.store_ip, self.store_port)
        await self.configure()
        for target in self.targets.values():
            await target.start()
        for node in self.nodes.values():
            node.run()
        await asyncio.sleep(0.3)
        for node in self.nodes.values():
            await node.wait_until_ready()
        await asyncio.sleep(calm_seconds)

    async def configure(self, **changes):
        """Write a newer configuration; the store's answer is the ack."""
        self.version += 3
        spec = self.service_spec()
        resources = [
            _resource('Services', name, spec)
            for name in dict.fromkeys(self.services)
        ]
        resources += self.routes(**changes)
        resources += [
            _resource(
                'Tenants',
                TENANT,
                {'ApiKeys': [KEY], 'Priority': 1, 'RatePerS': 0, 'Burst': 0},
            ),
            _resource(
                'Limits',
                '',
                {
                    'MaxHeaderBytes': 16384,
                    'MaxBodyBytes': 67108864,
                    'HeaderTimeoutMs': 3000,
                    'IdleTimeoutMs': 15000,
                },
            ),
        ]
        document = {'Version': self.version, 'Resources': resources}
        await self.store.put('op', 'config', json.dumps(document).encode())
        self.record.write('configuration', version=self.version)

    def service_spec(self):
        return {'HealthPath': '/health', 'MaxConnections': 460}

    def routes(self, **changes):
        service = self.services[0]
        return [
            route('/read/', 'idempotent', service, **changes),
            route('/submit/', 'non_idempotent', service, **changes),
        ]

    def note_run(self, request_id, target, headers, first):
        self.runs.append(Run(request_id, target, time.monotonic(), headers))
        self.record.write(
            'run', request=request_id, target=target, call=first[0] + first[1]
        )

    async def send(self, number, path, *, method=None, seconds=5.0, body=b''):
        """Send one request on a connection of its own."""
        sent = Sent(
            f'r{next(self.numbers)}-{random.getrandbits(32):08x}',
            number,
            path,
            time.monotonic(),
        )
        self.sent[sent.request_id] = sent
        if method is None:
            method = 'GET' if path.startswith('/read/') else 'POST'
        self.record.write(
            'sent', request=sent.request_id, node=number, path=path
        )
        request = message(
            f'{method} {path} HTTP/1.1',
            body,
            host=HOST,
            x_request_id=sent.request_id,
            x_deadline_ms=str(int(seconds * 1000)),
            authorization=f'Bearer {KEY}',
        )
        address = (self.ip(number), PORTS['Outbound'])
        try:
            answer = await call(address, request, seconds)
        except (OSError, EOFError, TimeoutError) as error:
            sent.error = type(error).__name__
        else:
            sent.status = answer.status
            sent.is_whole = answer.body == body_of(sent.request_id)
            sent.headers = answer.headers
        sent.ended_at = time.monotonic()
        self.record.write(
            'answered',
            request=sent.request_id,
            status=sent.status or sent.error,
        )
        return sent

    async def traffic(self, number, path, pause):
        """Send requests at one node, one after the other."""
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) * pause)
            await self.send(number, path)

    async def end(self):
        for node in self.nodes.values():
            await node.end()
        for target in self.targets.values():
            for task in list(target.tasks):
                task.cancel()
            if target.is_up:
                target.end('case-over')
        self.store.server.end()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in self.folder.glob('*.log'):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.record.close()
        self.temporary.cleanup()


def _is_free(place):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(place)
        except OSError:
            return False
    return True


def _resource(kind, name, spec):
    metadata = {'Name': name} if name else {}
    return {'ResourceType': kind, 'Metadata': metadata, 'Spec': spec}


def route(prefix, kind, service, **changes):
    spec = {
        'Host': HOST,
        'Prefix': prefix,
        'Kind': kind,
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1500,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        'Public': False,
        **changes,
    }
    return _resource('Routes', 'r-' + re.sub(r'\W', '', prefix), spec)


async def _until_signal(playing):
    """Play a case; SIGTERM cancels it, so that it ends its processes."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await playing


def run_case(play):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if not run.

    ``play`` gets whether to cause the disruption, and returns the breaches.
    """
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    try:
        breaches = asyncio.run(_until_signal(play(is_troubled)))
    except (Exception, asyncio.CancelledError) as error:  # a fault of the case is no broken rule
        traceback.print_exc()
        print(f'not run: {error!r}')
        sys.exit(2)
    for breach in breaches:
        print(breach)
    print('BROKEN' if breaches else 'HELD')
    sys.exit(1 if breaches else 0)
