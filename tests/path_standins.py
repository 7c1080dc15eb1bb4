"""Test doubles for what surrounds a node: store, adapter, target, host."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from path_builders import (
    NAMES,
    WALKS,
    LineLog,
    configuration,
    organisation,
    report,
    route,
)

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import (
    HistoryGoneError,
    OutcomeUnknownError,
    StoreError,
    WireError,
)
from boragetrestle_kernel.ids import DomainName, NodeId
from boragetrestle_platform.table import (
    ABSENT,
    Committed,
    Put,
    Row,
    Transaction,
)
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.configuration import Configuration
from boragetrestle_sidecar.endpoint_server import (
    EndpointAnswer,
    EndpointConnection,
)
from boragetrestle_sidecar.path_settings import PathSettings
from boragetrestle_sidecar.sidecar import Sidecar
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.store_client import TableChanges, TableView
from boragetrestle_sidecar.target_report import TargetReport

STORE_POLL_SECONDS = 0.01


class MemoryStore:
    """A store in memory that tests can make fail.

    It can be unreachable, lose the answers to writes, drop its changes or come
    back from an older copy.
    """

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, Row]] = {}
        self.log: list[tuple[str, str, Row | None]] = []
        self.first_kept = 0
        self.is_away = False
        self.loses_answers = False
        self.calls = 0
        self.polls = 0
        self.epoch = 1

    def put(
        self, table: str, key: str, content: bytes, *, part: str = ''
    ) -> None:
        """Write a row without conditions, as operators do."""
        table = _place(table, part)
        row = Row(key, content, len(self.log) + 1)
        self.tables.setdefault(table, {})[key] = row
        self.log.append((table, key, row))

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.tables.setdefault(table, {}).pop(key, None)
        self.log.append((table, key, None))

    def forget_history(self) -> None:
        """Drop all changes so far, so that watchers have to read again."""
        self.first_kept = len(self.log)

    def restore(self, position: int) -> None:
        """Come back from a copy made when the store was at a position.

        What was written since is gone, and its versions are given out again.
        """
        self.epoch += 1
        self.log = self.log[:position]
        self.tables = {}
        for table, key, row in self.log:
            rows = self.tables.setdefault(table, {})
            if row is None:
                rows.pop(key, None)
            else:
                rows[key] = row

    async def view(self, table: str, *, part: str = '') -> TableView:
        """Return all rows of one part of a table."""
        self._check()
        rows = tuple(self.tables.get(_place(table, part), {}).values())
        return TableView(rows, len(self.log), self.epoch)

    async def changes(
        self,
        table: str,
        position: int,
        *,
        wait: float,
    ) -> TableChanges:
        """Return the changes since a position, after up to ``wait`` seconds."""
        self._check()
        self.polls += 1
        epoch = self.epoch
        if position > len(self.log):
            raise HistoryGoneError('never given out', remedy='read anew')
        for _ in range(int(wait / STORE_POLL_SECONDS)):
            if any(name == table for name, _key, _row in self.log[position:]):
                break
            await asyncio.sleep(STORE_POLL_SECONDS)
            self._check()
            if self.epoch != epoch:
                break
        if position < self.first_kept:
            raise HistoryGoneError('gone', remedy='read anew')
        changed = {
            key: row for name, key, row in self.log[position:] if name == table
        }
        return TableChanges(
            tuple(row for row in changed.values() if row),
            tuple(key for key, row in changed.items() if row is None),
            len(self.log),
            self.epoch,
        )

    async def commit(
        self, table: str, transaction: Transaction, *, part: str = ''
    ) -> Committed:
        """Apply a transaction if all its checks hold."""
        self._check()
        table = _place(table, part)
        rows = self.tables.setdefault(table, {})
        failed = tuple(
            check.key
            for check in transaction.checks
            if _version(rows.get(check.key)) != check.version
        )
        if failed:
            return Committed(False, 0.0, failed)
        for write in transaction.writes:
            if isinstance(write, Put):
                self.put(table, write.key, write.content)
            else:
                self.remove(table, write.key)
        if self.loses_answers:
            raise OutcomeUnknownError('lost', remedy='read back')
        return Committed(True, 0.0)

    def _check(self) -> None:
        self.calls += 1
        if self.is_away:
            raise StoreError('away', remedy='wait')


class StandinAdapter:
    """An adapter whose configuration document is just a version number."""

    names = NAMES
    config_table = 'operators'
    config_key = 'configuration'
    evacuation_prefix = 'evacuate/'

    def __init__(self, settings: PathSettings, store: MemoryStore) -> None:
        self.settings = settings
        self.store = store

    def load_settings(self) -> PathSettings:
        """Return the settings of the test."""
        return self.settings

    def decode_configuration(self, document: bytes) -> Configuration:
        """Return a fixed configuration with the version in the document."""
        return configuration(
            route(),
            route('buy', prefix='/buy/', may_repeat=False),
            version=int(document),
            organisations=(organisation(rate=0),),
        )

    def decode_target_call(self, request: CallerRequest) -> TargetReport:
        """Refuse all calls, since tests report to the guard directly."""
        raise WireError('no call', remedy='report to the guard')

    def open_store(self, _caller: Any) -> MemoryStore:
        """Return the store of the test."""
        return self.store


class StandinTarget:
    """A target that answers, waits or fails as ``answer`` decides.

    ``answer`` returns the answer to a request, or None to send nothing.
    """

    def __init__(self) -> None:
        self.listener: asyncio.Server | None = None
        self.runs: list[CallerRequest] = []
        self.run_times: list[float] = []
        self.extra_headers = b''
        self.answers_after = 0.0
        self.connections: list[StandinConnection] = []
        self.answer: Callable[[CallerRequest], EndpointAnswer | None] = (
            _echo_target
        )

    async def listen(self, address: Address) -> None:
        """Accept connections."""
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: StandinConnection(self),
            address.host,
            address.port,
        )


class StandinConnection(EndpointConnection):
    """A connection whose answers carry the headers of a target."""

    def __init__(self, target: StandinTarget) -> None:
        super().__init__(self._never, LineLog())
        self.target = target
        self.is_mute = False
        target.connections.append(self)

    def data_received(self, received: bytes) -> None:
        """Answer the requests that are complete."""
        self.reader.feed(received)
        while self.reader.ready:
            request = self.reader.ready.popleft()
            self.target.runs.append(request)
            self.target.run_times.append(steady_now())
            answer = self.target.answer(request)
            if answer is not None:
                asyncio.get_running_loop().call_later(
                    self.target.answers_after, self.respond, request, answer
                )

    def respond(self, request: CallerRequest, answer: EndpointAnswer) -> None:
        """Write an answer with the request's id and the target's marker."""
        assert self.transport is not None
        if self.is_mute or self.transport.is_closing():
            return
        self.transport.write(
            b'HTTP/1.1 %d OK\r\nCall-Id: %s\r\nSeal: s\r\n'
            b'%sContent-Length: %d\r\n\r\n%s'
            % (
                answer.status,
                request.header(b'call-id') or b'',
                self.target.extra_headers,
                len(answer.body),
                answer.body,
            )
        )

    def _never(self, _request: CallerRequest) -> EndpointAnswer:
        return EndpointAnswer(500)


def _place(table: str, part: str) -> str:
    """Return the name under which a part of a table is kept."""
    return f'{table}/{part}' if part else table


def _version(row: Row | None) -> int:
    return ABSENT if row is None else row.version


def _echo_target(request: CallerRequest) -> EndpointAnswer:
    return EndpointAnswer(200, b'answer to ' + request.request_target)


class Host:
    """A node with its target, on a loopback address of its own."""

    def __init__(
        self,
        number: int,
        store: MemoryStore,
        log: Any,
        *,
        domain: str = 'a',
        memory_bytes: int = 200_000_000,
    ) -> None:
        self.ip = f'127.7.0.{number}'
        self.target = StandinTarget()
        self.target_address = Address(self.ip, 7001)
        self.settings = PathSettings(
            node=NodeId(f'node-{number}'),
            domain=DomainName(domain),
            service=WALKS,
            callers=Address(self.ip, 7002),
            peers=Address(self.ip, 7003),
            ready=Address(self.ip, 7004),
            control=Address(self.ip, 7005),
            metrics=Address(self.ip, 7006),
            target=self.target_address,
            store=Address(self.ip, 7007),
            stop_seconds=2.0,
            memory_bytes=memory_bytes,
        )
        self.adapter = StandinAdapter(self.settings, store)
        self.node = Sidecar(self.adapter, log)

    async def start(self) -> None:
        """Start node and target."""
        await self.target.listen(self.target_address)
        await self.node.start()

    async def restart_node(self) -> None:
        """Replace the node by a new process; its target runs on."""
        self.kill_node()
        await asyncio.sleep(0.1)
        await self.start_node()

    def kill_node(self) -> None:
        """End the node as a kill does; its target runs on."""
        self.node.close()
        for connection in list(self.node.server.connections):
            connection.abort()

    async def start_node(self) -> None:
        """Start a new node process."""
        self.node = Sidecar(self.adapter, self.node.log)
        await self.node.start()

    def close(self) -> None:
        """End node and target."""
        self.node.close()
        if self.target.listener is not None:
            self.target.listener.close()

    def report(self, **changes: Any) -> None:
        """Report the target to its node and send the node's status."""
        changes.setdefault('slots', 8)
        found = report(target=f't-{self.ip}', **changes)
        self.node.guard.handle_heartbeat(
            _with_address(found, self.target_address)
        )
        self.node.reporter.send()


def _with_address(found: TargetReport, address: Address) -> TargetReport:
    return replace(found, address=address)
