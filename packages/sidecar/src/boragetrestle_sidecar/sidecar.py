"""Assemble a node from its components and run it."""

import asyncio
import gc
import os
import random
import signal
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING, Any

from boragetrestle_kernel.errors import SettingsError
from boragetrestle_sidecar.admission.admission import Admission
from boragetrestle_sidecar.background_tasks import BackgroundTasks
from boragetrestle_sidecar.build_version import build_version
from boragetrestle_sidecar.caller_connection import CallerConnection
from boragetrestle_sidecar.caller_listener import (
    LISTEN_BACKLOG,
    CallerListener,
)
from boragetrestle_sidecar.config_keeper import ConfigKeeper
from boragetrestle_sidecar.endpoint_server import EndpointConnection
from boragetrestle_sidecar.entry import Entry
from boragetrestle_sidecar.entry_parts import EntryParts
from boragetrestle_sidecar.evacuations import Evacuations
from boragetrestle_sidecar.failure_trace import failure_trace
from boragetrestle_sidecar.first_configuration import FirstConfiguration
from boragetrestle_sidecar.fleet import Fleet
from boragetrestle_sidecar.fleet_load import load_of
from boragetrestle_sidecar.guard import Guard
from boragetrestle_sidecar.hop import LocalHop
from boragetrestle_sidecar.load_aggregation import LoadAggregation
from boragetrestle_sidecar.member import Member
from boragetrestle_sidecar.member_links import MemberLinks
from boragetrestle_sidecar.node_endpoints import NodeEndpoints
from boragetrestle_sidecar.peak_memory import peak_memory_bytes
from boragetrestle_sidecar.peer_frames import FRAMES_VERSION
from boragetrestle_sidecar.peer_messages import PeerMessages
from boragetrestle_sidecar.peer_server import PeerConnection, PeerServer
from boragetrestle_sidecar.rate_gate import RateGate
from boragetrestle_sidecar.rate_shares import RateShares
from boragetrestle_sidecar.retry_budget import RetryBudget
from boragetrestle_sidecar.route_explanation import RouteExplainer
from boragetrestle_sidecar.route_query import RouteQueries
from boragetrestle_sidecar.status_reporter import StatusReporter
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.stop_window import StopWindow
from boragetrestle_sidecar.store_sync import StoreSync
from boragetrestle_sidecar.suspects import Suspects
from boragetrestle_sidecar.telemetry import Telemetry
from boragetrestle_sidecar.tree_exchange import (
    LOAD_INTERVAL_SECONDS,
    TreeExchange,
)

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.platform_adapter import PlatformAdapter

SWEEP_INTERVAL_SECONDS = 0.02  # largest delay in noticing an expired time limit
# Without runs that wait or time limits that are close. Each sweep costs as much
# processor time as a part of a request.
IDLE_SWEEP_INTERVAL_SECONDS = 0.1
# The silence after which peers are pinged.
LINK_CHECK_INTERVAL_SECONDS = 0.2
# Idle connections are closed at most this late.
MAINTENANCE_INTERVAL_SECONDS = 1.0
# Callers move to another node after two failed readiness probes, one a second.
MIN_STOP_SECONDS = 2.3
# Fractions of the grace period: for the last answers to leave, and then for the
# process to end. Runs that callers wait for must continue through five sixths of
# it, so both together are less than a sixth.
FLUSH_FRACTION = 0.05
CLOSE_MARGIN_FRACTION = 0.1
# What callers that have just connected send arrives within this.
LAST_CALLERS_SECONDS = 0.05
# A node that has just started is ready when its links are up, or after this.
LINK_WAIT_SECONDS = 1.0
# In fleets up to this size loads are reported at each interval; in larger ones
# at each second one, which halves the traffic of nodes with many children.
MAX_SMALL_FLEET = 17
TICKS_IN_LARGE_FLEET = 2
_INCARNATION_BITS = 48  # random numbers of two starts don't coincide


class Sidecar:
    """A node: an entry for the callers of its host and a guard of its target.

    The entry takes requests from callers and chooses the target of each; the
    guard enforces the limits of the target on this host.
    """

    def __init__(
        self,
        adapter: 'PlatformAdapter',
        log: 'DecisionLog',
    ) -> None:
        self.adapter = adapter
        self.log = log
        self.tasks = BackgroundTasks(log)
        self.settings = adapter.load_settings()
        self.chance = random.Random()
        self.telemetry = Telemetry()
        evacuations = Evacuations(log, known_domains=self.settings.regions)
        self.guard = Guard(
            self.settings,
            adapter.names,
            log,
            telemetry=self.telemetry,
            evacuations=evacuations,
        )
        self.fleet = Fleet(
            Member(
                self.address,
                self.settings.domain,
                self.settings.service,
            ),
            evacuations,
        )
        self.links = MemberLinks(
            self.fleet, log, answers=self.guard.pool.buffers
        )
        self.keeper = ConfigKeeper(adapter.decode_configuration, log)
        self.first_configuration = FirstConfiguration(
            self.keeper, self._use_configuration
        )
        self.suspects = Suspects()
        self.admission = Admission(
            self.chance,
            log,
            seconds_until_warm=self.fleet.seconds_until_warm,
        )
        self.rates = RateGate(
            RateShares(self.address, slack=self.settings.rate_slack),
            link_of=self.links.open,
            chance=self.chance,
        )
        self.budget = RetryBudget(
            ratio=self.settings.retry_ratio,
            slack=self.settings.retry_slack,
            window=self.settings.retry_window,
        )
        self.entry = self._build_entry()
        self.sync = StoreSync(
            adapter,
            self.settings,
            log,
            fleet=self.fleet,
            guard=self.guard,
            links=self.links,
            keeper=self.keeper,
            admission=self.admission,
            telemetry=self.telemetry,
            chance=self.chance,
        )
        self.tree = TreeExchange(
            self.address,
            fleet=self.fleet,
            links=self.links,
            keeper=self.keeper,
            aggregation=LoadAggregation(),
            store=self.sync.following,
            suspects=self.suspects,
        )
        self.sync.connect(self.tree)
        messages = PeerMessages(
            fleet=self.fleet,
            keeper=self.keeper,
            rates=self.rates,
            suspects=self.suspects,
            tree=self.tree,
            own_load=lambda: self.reporter.own_load(),
            on_peer_heard=self.first_configuration.compare,
            on_notice=self.guard.handle_notice,
            log=log,
        )
        self.links.messages = messages
        self.server = PeerServer(self.guard, messages, log)
        self.reporter = StatusReporter(
            self.fleet.own,
            incarnation=random.SystemRandom().getrandbits(_INCARNATION_BITS),
            guard=self.guard,
            entry=self.entry,
            keeper=self.keeper,
            server=self.server,
        )
        self.listeners: list[asyncio.Server] = []
        self.caller_listener = CallerListener(
            partial(CallerConnection, self.entry), log
        )
        self.started_at = steady_now()
        self.stop_requested = asyncio.Event()
        self._connect_components()

    @property
    def address(self) -> str:
        """The address at which other nodes reach this one."""
        return str(self.settings.peers)

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts requests of callers."""
        if self.entry.is_stopping or self.entry.configuration is None:
            return False
        waited = steady_now() - self.started_at
        return self.links.all_connected or waited > LINK_WAIT_SECONDS

    def own_service(self) -> str:
        """Return the service that this host's target reported.

        Before its first report this is the service of the settings.
        """
        report = self.guard.reported_target.report
        return report.service if report else self.settings.service

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop without losing requests."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.check_settings)
        await self.start()
        gc.freeze()
        await self.stop_requested.wait()
        await self.stop()

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        asyncio.get_running_loop().set_exception_handler(
            self._log_callback_error
        )
        await self._listen()
        self._start_tasks()
        self.log.write_unlimited(
            'started',
            node=self.settings.node,
            address=self.address,
            domain=self.settings.domain,
            service=self.settings.service,
            incarnation=self.reporter.incarnation,
            process=os.getpid(),
            build=build_version(),
            frames=FRAMES_VERSION,
        )

    async def stop(self) -> None:
        """Drain the node: stop being ready, finish requests, then close.

        Answers that callers and other nodes have not taken yet are waited for.
        Takes at least ``MIN_STOP_SECONDS`` and at most the grace period.
        Requests that could outlast it are refused once callers have had the
        time to move.
        """
        began = steady_now()
        longest = self.settings.stop_seconds * (
            1 - CLOSE_MARGIN_FRACTION - FLUSH_FRACTION
        )
        self.entry.is_stopping = True
        self.entry.stop_window = StopWindow(
            accepts_until=began + min(MIN_STOP_SECONDS, longest / 2),
            closes_at=began + longest,
        )
        self.log.write_unlimited('stopping', requests=len(self.entry.requests))
        self.tasks.run_step(self.guard.stop)
        self.tasks.run_step(self.rates.shares.release_shares)
        self.tasks.run_step(self.reporter.send)
        loop = asyncio.get_running_loop()
        removal = loop.create_task(self.sync.registration.remove())
        while steady_now() - began < longest:
            if (
                steady_now() - began > MIN_STOP_SECONDS
                and not self._owes_answers
            ):
                break
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
        removal.cancel()
        self._log_cut_requests(began)
        requests = len(self.entry.requests)
        callers = sum(
            connection.owes_answers for connection in self.entry.connections
        )
        await self._close_callers()
        self.close()
        opened = [
            connection
            for connection in self.entry.connections
            if not connection.is_closing
        ]
        self.log.write_unlimited(
            'stopped',
            requests=requests,
            callers=callers,
            opened=len(opened),
            unread=sum(connection.has_unread for connection in opened),
            after=steady_now() - began,
        )

    async def _close_callers(self) -> None:
        """Refuse what is left and let the last answers leave.

        Callers may send until the listener closes, so what is read meanwhile is
        refused. Those that have connected by then get an answer, too.
        """
        flush_until = steady_now() + FLUSH_FRACTION * self.settings.stop_seconds
        self.entry.finish_stop()
        self._finish_connections(reads_on=True)
        await self._wait_for_callers(flush_until - LAST_CALLERS_SECONDS)
        await self.caller_listener.close()
        await asyncio.sleep(LAST_CALLERS_SECONDS)
        self._finish_connections(reads_on=True)
        await self._wait_for_callers(flush_until)
        self._finish_connections(reads_on=False)

    def _finish_connections(self, *, reads_on: bool) -> None:
        for connection in list(self.entry.connections):
            self.tasks.run_step(
                partial(connection.finish_stop, reads_on=reads_on)
            )

    async def _wait_for_callers(self, until: float) -> None:
        """Wait until callers have their answers and nothing is unread."""
        while steady_now() < until and any(
            connection.owes_answers or connection.has_unread
            for connection in self.entry.connections
        ):
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)

    def _log_cut_requests(self, began: float) -> None:
        """Log the requests that a stop gives up."""
        now = steady_now()
        for request in self.entry.requests:
            self.log.write_limited(
                'cut-by-stop',
                request=request.log_id,
                route=request.route.name,
                may_repeat=request.route.may_repeat,
                guard=request.guard_address,
                attempts=request.attempts,
                after=now - request.arrived_at,
                arrived_after_stop=request.arrived_at - began,
                left=request.expires_at - now,
            )

    @property
    def _owes_answers(self) -> bool:
        """Whether callers or other nodes still wait for this node."""
        if self.entry.requests or self.guard.running:
            return True
        callers = self.entry.connections
        return self.server.owes_outcomes or any(
            connection.owes_answers for connection in callers
        )

    def close(self) -> None:
        """Stop listening and cancel all tasks."""
        for listener in self.listeners:
            listener.close()
        self.tasks.cancel()
        for task in self.links.tasks.values():
            task.cancel()

    def check_settings(self) -> None:
        """Read the settings file again and log whether it is valid and changed.

        The node keeps the settings with which it started.
        """
        try:
            settings = self.adapter.load_settings()
        except SettingsError as error:
            self.log.write_unlimited('settings-refused', error=str(error))
            return
        is_changed = settings != self.settings
        self.log.write_unlimited('settings-reloaded', is_changed=is_changed)

    def _build_entry(self) -> Entry:
        parts = EntryParts(
            fleet=self.fleet,
            admission=self.admission,
            rate_gate=self.rates,
            retry_budget=self.budget,
            suspects=self.suspects,
            log=self.log,
            telemetry=self.telemetry,
            own_service=self.own_service,
            attribution=self.guard.attribution,
            answers=self.guard.pool.buffers,
            chance=self.chance,
        )
        return Entry(self.settings, self.adapter.names, parts)

    def _connect_components(self) -> None:
        self.fleet.add_local(self.guard, LocalHop(self.guard))
        self.fleet.on_members_changed = self._apply_members
        self.fleet.table.on_refused = self._log_refused_row
        self.keeper.subscribers.append(self._apply_configuration)
        self.fleet.evacuations.subscribers += (
            self.guard.apply_evacuations,
            self.reporter.send_if_guard_changed,
        )
        self.suspects.notify_nodes = self.tree.report_crash
        self.tree.on_total = self._plan_admission
        self.guard.crash_watch.on_crash = self._record_crash
        self.telemetry.infos['build'] = {
            'version': build_version(),
            'frames': FRAMES_VERSION,
        }
        self.telemetry.gauges.update({
            'guard_running': lambda: self.guard.running,
            'guard_waiting': lambda: len(self.guard.queue),
            'guard_rate_limit': lambda: self.guard.terms.rate_limit_metric,
            'guard_limit': lambda: self.guard.limit,
            'guard_learned_limit': lambda: self.guard.capacity.learned_metric,
            'guard_slowdown': lambda: self.guard.capacity.slowdown.factor(
                self.guard.clock()
            ),
            'guard_pace_limit': lambda: self.guard.terms.pace_metric,
            'request_body_bytes': lambda: self.entry.bodies.held_bytes,
            'answer_body_bytes': lambda: self.guard.pool.buffers.held_bytes,
            'peak_memory_bytes': peak_memory_bytes,
            'evacuated_domains': lambda: len(self.fleet.evacuations.domains),
            'configuration_version': lambda: self.keeper.version,
            'configuration_age_seconds': lambda: self.keeper.age,
            'members': lambda: len(self.fleet.members),
            'refused_node_rows': lambda: len(self.fleet.table.refused),
            'links': lambda: len(self.links.links),
            'peer_connections': lambda: len(self.server.connections),
            'store_epoch': lambda: self.tree.epoch,
            'store_heard_seconds': lambda: self.sync.following.age,
        })

    async def _listen(self) -> None:
        calls = NodeEndpoints(
            self.adapter,
            self.guard,
            self.telemetry,
            self.log,
            routes=RouteQueries(RouteExplainer(self.entry)),
            is_ready=lambda: self.is_ready,
            on_guard_changed=self.reporter.send_if_guard_changed,
            wait_until_saved=self.sync.targets.wait_until_saved,
        )
        settings = self.settings
        for factory, address in (
            (
                partial(EndpointConnection, calls.ready, self.log),
                settings.ready,
            ),
            (
                partial(EndpointConnection, calls.control, self.log),
                settings.control,
            ),
            (
                partial(EndpointConnection, calls.metrics, self.log),
                settings.metrics,
            ),
            (partial(PeerConnection, self.server), settings.peers),
        ):
            listener = await asyncio.get_running_loop().create_server(
                factory,
                address.host,
                address.port,
                backlog=LISTEN_BACKLOG,
                reuse_address=True,
            )
            self.listeners.append(listener)
        self.listeners.append(await self.caller_listener.open(settings.callers))

    def _start_tasks(self) -> None:
        for job in (
            *self.sync.jobs(),
            self._sweep_deadlines,
            self._check_links,
            self._run_maintenance,
            self._exchange_loads,
        ):
            self.tasks.start(job)

    def _log_callback_error(
        self,
        _loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        """Log an exception that a callback of the event loop raised."""
        error = context.get('exception')
        self.log.write_limited(
            'callback-failed',
            message=context.get('message', ''),
            error=repr(error),
            trace=failure_trace(error) if error else [],
        )

    async def _sweep_deadlines(self) -> None:
        while True:
            await asyncio.sleep(self._seconds_to_sweep())
            for step in (
                self.guard.sweep,
                self.entry.expire_overdue_requests,
                self.admission.refresh,
                self.reporter.send_if_guard_changed,
                self.sync.targets.check,
            ):
                self.tasks.run_step(step)

    def _seconds_to_sweep(self) -> float:
        """Return the seconds until the next sweep is due."""
        deadline = min(self.guard.next_deadline, self.entry.next_deadline)
        left = deadline - steady_now()
        return min(
            IDLE_SWEEP_INTERVAL_SECONDS, max(SWEEP_INTERVAL_SECONDS, left)
        )

    async def _check_links(self) -> None:
        while True:
            await asyncio.sleep(LINK_CHECK_INTERVAL_SECONDS)
            now = steady_now()
            self.tasks.run_step(self.links.check_liveness, now)
            for connection in list(self.entry.bodies.paused):
                self.tasks.run_step(connection.refuse_waiting_body, now)

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            now = steady_now()
            configuration = self.keeper.configuration
            if configuration is not None:
                limits = configuration.limits
                for connection in list(self.entry.connections):
                    self.tasks.run_step(connection.check_progress, now, limits)
            self.tasks.run_step(self.guard.pool.close_stale, now)
            self.tasks.run_step(self.server.abort_silent_connections)
            self.tasks.run_step(self.rates.refill_shares)

    async def _exchange_loads(self) -> None:
        last = steady_now()
        ticks = 0
        while True:
            await asyncio.sleep(LOAD_INTERVAL_SECONDS)
            now = steady_now()
            self.reporter.update_rates(max(now - last, SWEEP_INTERVAL_SECONDS))
            last = now
            self.first_configuration.check_wait()
            self.sync.check_epoch()
            self.sync.check_evacuations()
            self.links.refresh()
            ticks += 1
            every = 1
            if len(self.fleet.members) > MAX_SMALL_FLEET:
                every = TICKS_IN_LARGE_FLEET
            if ticks % every == 0:
                self.tree.interval = LOAD_INTERVAL_SECONDS * every
                self.tree.aggregation.own = load_of(
                    self.reporter.build_status()
                )
                self.tree.report(self.admission.call_graph.costs.values())

    def _plan_admission(self) -> None:
        total = self.tree.aggregation.total_to_plan(len(self.fleet.members))
        if total is not None:
            self.admission.own_arrivals = self.reporter.arrivals.rates
            self.admission.plan(total)

    def _apply_configuration(self, configuration: 'Configuration') -> None:
        self.tree.pass_configuration_on()
        self.first_configuration.apply(configuration)

    def _use_configuration(self, configuration: 'Configuration') -> None:
        self.entry.configure(configuration)
        self.rates.configuration = configuration
        self.admission.configure(configuration)
        self.guard.configure(configuration)

    def _apply_members(self, members: 'Sequence[Member]') -> None:
        addresses = [member.address for member in members]
        self.rates.shares.set_nodes(addresses)
        self.budget.nodes = len(addresses)
        self.links.set_members(members)

    def _log_refused_row(self, key: str, error: str) -> None:
        self.log.write_limited('node-row-refused', key=key, error=error)

    def _record_crash(self, fingerprints: list[str]) -> None:
        for found in fingerprints:
            self.suspects.record_crash(found, is_own=True)
