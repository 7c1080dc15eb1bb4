"""One node on the data path of two hops, put together and run."""

import asyncio
import gc
import os
import random
import signal
import traceback
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING, Any

from boragetrestle_kernel.errors import SettingsError
from boragetrestle_sidecar.admission import Admission
from boragetrestle_sidecar.caller_connection import CallerConnection
from boragetrestle_sidecar.config_keeper import ConfigKeeper
from boragetrestle_sidecar.cost_archive import CostArchive
from boragetrestle_sidecar.counted_store import CountedStore
from boragetrestle_sidecar.entry import Entry
from boragetrestle_sidecar.entry_parts import EntryParts
from boragetrestle_sidecar.fleet import Fleet
from boragetrestle_sidecar.guard import Guard
from boragetrestle_sidecar.hop import LocalHop
from boragetrestle_sidecar.http_caller import HttpCaller
from boragetrestle_sidecar.member_links import MemberLinks
from boragetrestle_sidecar.node_calls import NodeCalls
from boragetrestle_sidecar.peer_messages import PeerMessages
from boragetrestle_sidecar.peer_server import PeerConnection, PeerServer
from boragetrestle_sidecar.rate_gate import RateGate
from boragetrestle_sidecar.rate_shares import RateShares
from boragetrestle_sidecar.registration import NODES_TABLE, Registration
from boragetrestle_sidecar.retry_budget import RetryBudget
from boragetrestle_sidecar.small_server import SmallConnection
from boragetrestle_sidecar.status_reporter import StatusReporter
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.suspects import Suspects, fingerprint_of
from boragetrestle_sidecar.table_watch import TableWatch
from boragetrestle_sidecar.telemetry import Telemetry

if TYPE_CHECKING:
    from boragetrestle_platform.table import Row
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.platform_adapter import PlatformAdapter
    from boragetrestle_sidecar.run_order import RunOrder

SWEEP_SECONDS = 0.02  # how late the end of a time limit is seen
LINK_SWEEP_SECONDS = 0.1  # half of the silence after which peers are pinged
SLOW_SWEEP_SECONDS = 1.0  # idle connections are closed this late at most
IDLE_MARGIN_SECONDS = 1.0  # callers reuse connections up to their idle limit
# Two readiness probes, one a second, are missed before callers go elsewhere.
LEAST_STOP_SECONDS = 2.3
# Kept from the grace period for closing: less than its last sixth, up to which
# runs that callers still wait for must be carried on.
STOP_MARGIN_SHARE = 0.1
# A node that has just started waits this long for its links before it is ready.
LINKS_SECONDS = 1.0
# Nodes that join announce themselves; the table only confirms it, and many
# change it at once.
NODES_REST_SECONDS = 0.8
# Changes come in quick succession; peers whose poll ends first hand them on.
CONFIG_REST_SECONDS = 0.6
BACKLOG = 1024  # connections of all callers at once after a restart
TRACE_LINES = 6  # of a traceback in a log line
_INCARNATION_BITS = 48  # two starts of one node get the same one never


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
        self.address = str(self.settings.peers)
        self.telemetry = Telemetry()
        self.guard = Guard(
            self.settings,
            adapter.names,
            log,
            telemetry=self.telemetry,
        )
        self.fleet = Fleet(self.address)
        self.links = MemberLinks(self.address, self.fleet, log)
        self.keeper = ConfigKeeper(adapter.decode_configuration, log)
        self.suspects = Suspects()
        self.admission = Admission(self.chance, log, address=self.address)
        self.rates = RateGate(
            RateShares(self.address, slack=self.settings.rate_slack),
            link_of=self.links.get,
            chance=self.chance,
        )
        self.budget = RetryBudget(
            ratio=self.settings.retry_ratio,
            slack=self.settings.retry_slack,
            window=self.settings.retry_window,
        )
        self.entry = self._new_entry()
        messages = PeerMessages(
            address=self.address,
            fleet=self.fleet,
            keeper=self.keeper,
            rates=self.rates,
            suspects=self.suspects,
        )
        self.links.messages = messages
        self.server = PeerServer(self.guard, messages, log)
        self.reporter = StatusReporter(
            self.settings,
            incarnation=random.SystemRandom().getrandbits(_INCARNATION_BITS),
            guard=self.guard,
            entry=self.entry,
            fleet=self.fleet,
            keeper=self.keeper,
            server=self.server,
        )
        self.store = CountedStore(
            adapter.open_store(HttpCaller(self.settings.store)),
            self.telemetry,
        )
        self.registration = Registration(
            self.address,
            self.settings.domain,
            self.store,
            log,
        )
        self.costs = CostArchive(
            self.admission,
            self.store,
            log,
            writes=lambda: self.fleet.is_first,
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.listeners: list[asyncio.Server] = []
        self.started_at = steady_now()
        self.stop_asked = asyncio.Event()
        self._connect_parts()

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        if self.entry.is_stopping or self.keeper.configuration is None:
            return False
        waited = steady_now() - self.started_at
        return self.links.are_up or waited > LINKS_SECONDS

    def own_service(self) -> str:
        """Return the service of the target on this host."""
        report = self.guard.book.report
        return report.service if report else self.settings.service

    async def run(self) -> None:
        """Serve until SIGTERM, then stop without losing requests."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        gc.freeze()
        await self.stop_asked.wait()
        await self.stop()

    async def start(self) -> None:
        """Listen, find the other nodes and follow the store."""
        asyncio.get_running_loop().set_exception_handler(self._log_fault)
        await self._listen()
        self._start_tasks()
        self.log.always(
            'started',
            node=self.settings.node,
            address=self.address,
            domain=self.settings.domain,
            service=self.settings.service,
            incarnation=self.reporter.incarnation,
            process=os.getpid(),
        )

    async def stop(self) -> None:
        """Let callers go elsewhere, then end what is under way."""
        began = steady_now()
        self.entry.is_stopping = True
        self.log.always('stopping', requests=len(self.entry.requests))
        self.guard.stop()
        self.rates.shares.surrender()
        self.reporter.send()
        loop = asyncio.get_running_loop()
        removal = loop.create_task(self.registration.remove())
        longest = self.settings.stop_seconds * (1 - STOP_MARGIN_SHARE)
        while steady_now() - began < longest:
            is_idle = not self.entry.requests and not self.guard.running
            if is_idle and steady_now() - began > LEAST_STOP_SECONDS:
                break
            await asyncio.sleep(SWEEP_SECONDS)
        removal.cancel()
        self.close()
        self.log.always(
            'stopped',
            requests=len(self.entry.requests),
            after=steady_now() - began,
        )

    def close(self) -> None:
        """Stop listening and end all tasks."""
        for listener in self.listeners:
            listener.close()
        for task in (*self.tasks, *self.links.tasks.values()):
            task.cancel()

    def reload(self) -> None:
        """Read the settings again; wrong ones change nothing."""
        try:
            settings = self.adapter.load_settings()
        except SettingsError as error:
            self.log.always('settings-refused', error=str(error))
            return
        is_changed = settings != self.settings
        self.log.always('settings-reloaded', is_changed=is_changed)

    def _new_entry(self) -> Entry:
        parts = EntryParts(
            fleet=self.fleet,
            admission=self.admission,
            rates=self.rates,
            budget=self.budget,
            suspects=self.suspects,
            log=self.log,
            telemetry=self.telemetry,
            own_service=self.own_service,
            attribution=self.guard.attribution,
            chance=self.chance,
        )
        return Entry(self.settings, self.adapter.names, parts)

    def _connect_parts(self) -> None:
        self.fleet.add(self.address, LocalHop(self.guard), is_local=True)
        self.fleet.on_members = self._use_members
        self.keeper.users.append(self._use_configuration)
        self.suspects.tell = self.links.tell_suspect
        self.guard.crashes.tell = self._note_crash
        self.telemetry.gauges.update({
            'guard_running': lambda: self.guard.running,
            'guard_waiting': lambda: len(self.guard.queue),
            'configuration_version': lambda: self.keeper.version,
            'configuration_age_seconds': lambda: self.keeper.age,
            'members': lambda: len(self.fleet.members),
        })

    async def _listen(self) -> None:
        calls = NodeCalls(
            self.adapter,
            self.guard,
            self.telemetry,
            self.log,
            is_ready=lambda: self.is_ready,
            turned=self.reporter.send,
        )
        settings = self.settings
        for factory, address in (
            (partial(SmallConnection, calls.ready), settings.ready),
            (partial(SmallConnection, calls.control), settings.control),
            (partial(SmallConnection, calls.metrics), settings.metrics),
            (partial(PeerConnection, self.server), settings.peers),
            (partial(CallerConnection, self.entry), settings.callers),
        ):
            listener = await asyncio.get_running_loop().create_server(
                factory,
                address.host,
                address.port,
                backlog=BACKLOG,
                reuse_address=True,
            )
            self.listeners.append(listener)

    def _start_tasks(self) -> None:
        watch = partial(
            TableWatch,
            store=self.store,
            log=self.log,
            chance=self.chance,
        )
        nodes = watch(
            NODES_TABLE,
            changed=self._use_nodes,
            rest=NODES_REST_SECONDS,
        )
        operators = watch(
            self.adapter.config_table,
            changed=self._use_operators_rows,
            rest=CONFIG_REST_SECONDS,
        )
        for job in (
            operators.run(),
            nodes.run(),
            self.registration.run(),
            self.costs.run(),
            self._sweep_quickly(),
            self._sweep_links(),
            self._sweep_slowly(),
            self._report(),
        ):
            task = asyncio.get_running_loop().create_task(job)
            task.add_done_callback(self._note_task_end)
            self.tasks.add(task)

    def _note_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        self.log.always('task-failed', error=repr(task.exception()))
        self.stop_asked.set()

    def _log_fault(
        self,
        _loop: asyncio.AbstractEventLoop,
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

    async def _sweep_quickly(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.guard.sweep()
            self.entry.sweep()
            self.reporter.send_if_turned()

    async def _sweep_links(self) -> None:
        while True:
            await asyncio.sleep(LINK_SWEEP_SECONDS)
            self.links.check(steady_now())

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
            self.server.drop_silent()
            self.rates.refill()

    async def _report(self) -> None:
        last = steady_now()
        while True:
            await asyncio.sleep(self.fleet.status_interval)
            now = steady_now()
            self.reporter.measure(max(now - last, SWEEP_SECONDS))
            last = now
            self.reporter.send()
            self.admission.plan(self.fleet.current_statuses())

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
        self.budget.nodes = len(members)
        self.links.follow(members)

    def _note_crash(self, orders: 'list[RunOrder]') -> None:
        for order in orders:
            self.suspects.crashed(fingerprint_of(order), is_own=True)
