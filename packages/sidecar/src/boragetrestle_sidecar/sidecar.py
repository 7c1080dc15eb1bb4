"""One node on the data path of two hops, put together and run."""

import asyncio
import gc
import os
import random
import signal
import traceback
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import SettingsError, WireError
from boragetrestle_sidecar.admission import Admission
from boragetrestle_sidecar.caller_connection import CallerConnection
from boragetrestle_sidecar.config_keeper import ConfigKeeper
from boragetrestle_sidecar.entry import Entry
from boragetrestle_sidecar.fleet import Fleet
from boragetrestle_sidecar.guard import Guard
from boragetrestle_sidecar.hop import LocalHop
from boragetrestle_sidecar.http_caller import HttpCaller
from boragetrestle_sidecar.peer_frames import FrameKind
from boragetrestle_sidecar.peer_link import PeerLink
from boragetrestle_sidecar.peer_messages import PeerMessages
from boragetrestle_sidecar.peer_server import PeerConnection, PeerServer
from boragetrestle_sidecar.platform_adapter import TargetLeave
from boragetrestle_sidecar.rate_gate import RateGate
from boragetrestle_sidecar.rate_shares import RateShares
from boragetrestle_sidecar.registration import NODES_TABLE, Registration
from boragetrestle_sidecar.retry_budget import RetryBudget
from boragetrestle_sidecar.small_server import SmallAnswer, SmallConnection
from boragetrestle_sidecar.status_reporter import StatusReporter
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.suspects import Suspects, fingerprint
from boragetrestle_sidecar.table_watch import TableWatch
from boragetrestle_sidecar.telemetry import Telemetry

if TYPE_CHECKING:
    from boragetrestle_platform.table import Row
    from boragetrestle_sidecar.caller_request import CallerRequest
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.platform_adapter import PlatformAdapter
    from boragetrestle_sidecar.run_order import RunOrder

SWEEP_SECONDS = 0.02  # how late the end of a time limit is seen
SLOW_SWEEP_SECONDS = 1.0  # idle connections are closed this late at most
IDLE_MARGIN_SECONDS = 1.0  # callers reuse connections up to their idle limit
# Two readiness probes, one a second, are missed before callers go elsewhere.
LEAST_STOP_SECONDS = 2.3
STOP_MARGIN_SECONDS = 1.2  # kept from the grace period for closing
BACKLOG = 1024  # connections of all callers at once after a restart
UNSENT_STATUS = 503
TRACE_LINES = 6  # of a traceback in a log line


class Sidecar:
    """The entry for callers of one host and the guard of its target."""

    def __init__(
        self,
        adapter: 'PlatformAdapter',
        log: 'DecisionLog',
    ) -> None:
        self.adapter = adapter
        self.log = log
        self.settings = adapter.load_settings()
        self.chance = random.Random()
        self.incarnation = random.SystemRandom().getrandbits(48)
        address = str(self.settings.peers)
        self.address = address
        self.telemetry = Telemetry()
        self.links: dict[str, PeerLink] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.background: set[asyncio.Task[None]] = set()
        self.guard = Guard(self.settings, adapter.names, log)
        self.fleet = Fleet(address)
        self.keeper = ConfigKeeper(adapter.decode_configuration, log)
        self.suspects = Suspects()
        self.admission = Admission(self.chance, log)
        self.rates = RateGate(
            RateShares(address),
            link_of=self.links.get,
            chance=self.chance,
        )
        self.budget = RetryBudget(
            ratio=self.settings.retry_ratio,
            slack=self.settings.retry_slack,
            window=self.settings.retry_window,
        )
        self.entry = Entry(
            self.settings,
            adapter.names,
            fleet=self.fleet,
            admission=self.admission,
            rates=self.rates,
            budget=self.budget,
            suspects=self.suspects,
            log=log,
            telemetry=self.telemetry,
            own_service=self.own_service,
            note_call=self.guard.attribution.called,
            chance=self.chance,
        )
        self.messages = PeerMessages(
            address=address,
            fleet=self.fleet,
            keeper=self.keeper,
            rates=self.rates,
            suspects=self.suspects,
        )
        self.server = PeerServer(self.guard, self.messages, log)
        self.reporter = StatusReporter(
            self.settings,
            incarnation=self.incarnation,
            guard=self.guard,
            entry=self.entry,
            fleet=self.fleet,
            keeper=self.keeper,
            server=self.server,
        )
        self.store = adapter.open_store(HttpCaller(self.settings.store))
        self.registration = Registration(
            address,
            self.settings.domain,
            self.store,
            log,
        )
        self.listeners: list[asyncio.Server] = []
        self.is_stopping = False
        self.stop_asked = asyncio.Event()
        self._connect_parts()

    def own_service(self) -> str:
        """Return the service of the target on this host."""
        report = self.guard.book.report
        return report.service if report else self.settings.service

    async def run(self) -> None:
        """Serve until SIGTERM, then stop without losing requests."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_fault)
        loop.add_signal_handler(signal.SIGTERM, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._listen()
        self._start_tasks()
        self.log.always(
            'started',
            node=self.settings.node,
            address=self.address,
            domain=self.settings.domain,
            service=self.settings.service,
            incarnation=self.incarnation,
            process=os.getpid(),
        )
        gc.freeze()
        await self.stop_asked.wait()
        await self._stop()

    def reload(self) -> None:
        """Read the settings again; wrong ones change nothing."""
        try:
            settings = self.adapter.load_settings()
        except SettingsError as error:
            self.log.always('settings-refused', error=str(error))
            return
        self.log.always('settings-reloaded', changed=settings != self.settings)

    def _log_fault(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        """Write an error that ended a callback of the loop."""
        error = context.get('exception')
        trace = traceback.format_exception(error) if error else []
        self.log.line(
            'callback-failed',
            message=context.get('message', ''),
            error=repr(error),
            trace=trace[-TRACE_LINES:],
        )

    def _connect_parts(self) -> None:
        self.fleet.add(self.address, LocalHop(self.guard), is_local=True)
        self.fleet.on_members = self._use_members
        self.keeper.users.append(self._use_configuration)
        self.suspects.tell = self._tell_suspect
        self.guard.crash_suspects = self._note_crash
        self.telemetry.gauges.update({
            'guard_running': lambda: self.guard.running,
            'guard_waiting': lambda: len(self.guard.queue),
            'configuration_version': lambda: self.keeper.version,
            'configuration_age_seconds': self._configuration_age,
            'members': lambda: len(self.fleet.members),
        })

    async def _listen(self) -> None:
        settings = self.settings
        loop = asyncio.get_running_loop()
        for factory, address in (
            (lambda: SmallConnection(self._answer_ready), settings.ready),
            (lambda: SmallConnection(self._answer_control), settings.control),
            (lambda: SmallConnection(self._answer_metrics), settings.metrics),
            (lambda: PeerConnection(self.server), settings.peers),
            (lambda: CallerConnection(self.entry), settings.callers),
        ):
            listener = await loop.create_server(
                factory,
                address.host,
                address.port,
                backlog=BACKLOG,
                reuse_address=True,
            )
            self.listeners.append(listener)

    def _start_tasks(self) -> None:
        nodes = TableWatch(
            NODES_TABLE,
            self.store,
            self.log,
            changed=self._use_nodes,
            chance=self.chance,
        )
        operators = TableWatch(
            self.adapter.config_table,
            self.store,
            self.log,
            changed=self._use_operators_rows,
            chance=self.chance,
        )
        for job in (
            operators.run(),
            nodes.run(),
            self.registration.run(),
            self._sweep_quickly(),
            self._sweep_slowly(),
            self._report(),
        ):
            task = asyncio.get_running_loop().create_task(job)
            task.add_done_callback(self._note_task_end)
            self.background.add(task)

    def _note_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        self.log.always('task-failed', error=repr(error))
        self.stop_asked.set()

    async def _sweep_quickly(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.guard.sweep()
            self.entry.sweep()

    async def _sweep_slowly(self) -> None:
        while True:
            await asyncio.sleep(SLOW_SWEEP_SECONDS)
            now = steady_now()
            configuration = self.keeper.configuration
            if configuration is not None:
                longest = configuration.limits.idle_seconds
                for connection in list(self.entry.connections):
                    connection.close_if_idle(now, longest + IDLE_MARGIN_SECONDS)
            self.guard.pool.close_stale(now)
            self.rates.refill()
            self.server.drop_silent()

    async def _report(self) -> None:
        last = steady_now()
        while True:
            await asyncio.sleep(self.reporter.interval)
            now = steady_now()
            self.reporter.measure(max(now - last, SWEEP_SECONDS))
            last = now
            self.reporter.send()
            self.admission.plan(self.fleet.current_statuses())

    async def _stop(self) -> None:
        self.is_stopping = True
        self.entry.is_stopping = True
        self.log.always('stopping', requests=len(self.entry.requests))
        self.guard.stop()
        self.reporter.send()
        removal = asyncio.get_running_loop().create_task(
            self.registration.remove(),
        )
        began = steady_now()
        longest = self.settings.stop_seconds - STOP_MARGIN_SECONDS
        while steady_now() - began < longest:
            is_idle = not self.entry.requests and not self.guard.running
            if is_idle and steady_now() - began > LEAST_STOP_SECONDS:
                break
            await asyncio.sleep(SWEEP_SECONDS)
        removal.cancel()
        self.log.always(
            'stopped',
            requests=len(self.entry.requests),
            after=steady_now() - began,
        )

    def _answer_ready(self, request: 'CallerRequest') -> SmallAnswer:
        is_ready = self.keeper.configuration is not None
        if is_ready and not self.is_stopping:
            return SmallAnswer(200)
        return SmallAnswer(UNSENT_STATUS)

    def _answer_control(self, request: 'CallerRequest') -> SmallAnswer:
        try:
            call = self.adapter.decode_target_call(request)
        except WireError as error:
            self.log.line('heartbeat-refused', error=str(error))
            return SmallAnswer(400)
        before = self.guard.is_open
        if isinstance(call, TargetLeave):
            self.guard.leave(call.target)
        else:
            self.guard.report(call)
        if before != self.guard.is_open:
            self.log.always('guard-turned', is_open=self.guard.is_open)
            self.reporter.send()
        return SmallAnswer(200, b'{}')

    def _answer_metrics(self, request: 'CallerRequest') -> SmallAnswer:
        text = self.telemetry.render().encode()
        return SmallAnswer(200, text, b'text/plain; version=0.0.4')

    def _use_configuration(self, configuration: 'Configuration') -> None:
        self.entry.configuration = configuration
        self.rates.configuration = configuration
        self.admission.configure(configuration)

    def _use_operators_rows(self, rows: 'dict[str, Row]') -> None:
        row = rows.get(self.adapter.config_key)
        if row is not None and self.keeper.offer(row.content, source='store'):
            self.reporter.send()

    def _use_nodes(self, rows: 'dict[str, Row]') -> None:
        self.registration.note(rows)
        self.fleet.set_members({*rows, self.address})

    def _use_members(self, members: Sequence[str]) -> None:
        self.rates.shares.resize(members)
        self.budget.resize(nodes=len(members), now=steady_now())
        self.log.always('members-changed', members=list(members))
        for address in members:
            if address != self.address and address not in self.links:
                self._add_link(address)
        for address in list(self.links):
            if address not in members:
                self._retire_link(address)

    def _add_link(self, address: str) -> None:
        link = PeerLink(Address.parse(address), self.messages, self.log)
        self.links[address] = link
        self.fleet.add(address, link)
        task = asyncio.get_running_loop().create_task(link.keep())
        self.tasks[address] = task

    def _retire_link(self, address: str) -> None:
        """Let the runs of a node that has left end on its open connection."""
        link = self.links.pop(address)
        self.tasks.pop(address).cancel()
        self.fleet.remove(address)
        if not link.replies:
            link.drop()

    def _tell_suspect(self, print_: str) -> None:
        for link in self.links.values():
            link.send(FrameKind.SUSPECT, 0, [print_])

    def _note_crash(self, orders: 'list[RunOrder]') -> None:
        for order in orders:
            target = order.head.split(b' ', 2)[1]
            self.suspects.crashed(fingerprint(target, order.body), is_own=True)

    def _configuration_age(self) -> float:
        if self.keeper.configuration is None:
            return 0.0
        return steady_now() - self.keeper.applied_at
