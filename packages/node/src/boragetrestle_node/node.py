"""One node: its parts, its listeners and its tasks."""

import random
from collections import Counter

import trio
from eliot import log_message

import boragetrestle_node.guarded_slots  # noqa: F401
import boragetrestle_node.leased_slots  # noqa: F401
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.clock import SystemClock, WallClock
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.hybrid_clock import HybridClock
from boragetrestle_kernel.ids import NodeId, TargetId
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.settings import NodeSettings
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.admin import Admin
from boragetrestle_node.caller_connections import CallerConnections
from boragetrestle_node.connection_pool import ConnectionPool
from boragetrestle_node.control import Control
from boragetrestle_node.directory import Directory
from boragetrestle_node.entry import Entry
from boragetrestle_node.forwarder import Forwarder
from boragetrestle_node.freshness_gate import FreshnessGate
from boragetrestle_node.gate import RateStage
from boragetrestle_node.graceful_stop import GracefulStop
from boragetrestle_node.guarded_calls import GuardedCalls
from boragetrestle_node.guards import Guards
from boragetrestle_node.idempotency_key_gate import IdempotencyKeyGate
from boragetrestle_node.idempotency_layer import IdempotencyLayer
from boragetrestle_node.identity import Identifier
from boragetrestle_node.metrics import NodeMetrics
from boragetrestle_node.outbound import Outbound, OutboundParts
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.peer_proof import PeerProver
from boragetrestle_node.policies import Policies
from boragetrestle_node.rate_policies import build_rate_policy
from boragetrestle_node.rate_policy import RateParts
from boragetrestle_node.service_times import ServiceTimes
from boragetrestle_node.slot_source import SLOT_SOURCES, SlotParts
from boragetrestle_platform.guarded_platform import guard_platform
from boragetrestle_platform.platform import Platform

DEFAULT_POLICIES = Policies()

_FLUSH_SECONDS = 5.0


class Node:
    """The process beside a target.

    ``seed`` makes its random choices repeatable.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        network: Network,
        platform: Platform,
        clock: WallClock | None = None,
        seed: int | None = None,
        policies: Policies = DEFAULT_POLICIES,
    ) -> None:
        wall_clock = clock or SystemClock()
        self.settings = settings
        self.network = network
        self.rng = random.Random(seed)
        self.state = FleetState()
        self.directory = Directory()
        self.in_flight: Counter[TargetId] = Counter()
        self.metrics = NodeMetrics()
        self.timeline = Timeline(HybridClock(wall_clock), node=settings.node)
        self.identifier = Identifier(
            self.state,
            wall_clock,
            own_hosts=settings.own_hosts,
        )
        self.pool = ConnectionPool(network)
        store = guard_platform(
            platform,
            node_count=self.count_nodes,
            timeout=settings.platform.timeout,
            rng=random.Random(seed),
        )
        self.links = PeerLinks(
            NodeId(settings.node),
            network=network,
            prover=PeerProver([
                secret.resolve() for secret in settings.fleet_secrets
            ]),
            clock=wall_clock,
            timeline=self.timeline,
        )
        self.control = Control(
            settings,
            Platform(store.table, store.objects),
            head_table=platform.table,
            state=self.state,
            directory=self.directory,
            links=self.links,
            timeline=self.timeline,
            first_incarnation=int(wall_clock.wall()),
            rng=self.rng,
        )
        self.membership = self.control.membership
        times = ServiceTimes()
        self.guards = Guards(
            self.membership.own,
            state=self.state,
            policies=policies,
            rng=self.rng,
            times=times,
            timeline=self.timeline,
            links=self.links,
        )
        build_slots = SLOT_SOURCES[policies.slots]
        self.slots = build_slots(
            SlotParts(
                node=NodeId(settings.node),
                in_flight=self.in_flight,
                guards=self.guards,
                times=times,
                links=self.links,
                peers_address=settings.listen.peers,
            ),
        )
        self.forwarder = Forwarder(self.pool)
        self.outbound = Outbound(
            OutboundParts(
                settings=settings,
                policies=policies,
                network=network,
                clock=wall_clock,
                state=self.state,
                directory=self.directory,
                control=self.control,
                links=self.links,
                guards=self.guards,
                slots=self.slots,
                forwarder=self.forwarder,
                identifier=self.identifier,
                timeline=self.timeline,
                rng=self.rng,
            ),
        )
        admission = self.outbound.admission
        self.repeats = IdempotencyLayer(
            store,
            dispatcher=self.outbound.dispatcher,
            timeline=self.timeline,
            node_count=self.count_nodes,
            rng=random.Random(seed),
        )
        rates = build_rate_policy(
            policies.rates,
            RateParts(
                node=NodeId(settings.node),
                address=settings.listen.peers,
                state=self.state,
                members=self.control.members,
                links=self.links,
                table=store.table,
                combiner=self.repeats.combiner,
                timeline=self.timeline,
                rng=random.Random(seed),
            ),
        )
        self.entry = Entry(
            identifier=self.identifier,
            gates=[
                FreshnessGate(self.control.exchange),
                IdempotencyKeyGate(),
                admission.gate,
            ],
            rates=RateStage(rates),
            dispatcher=self.repeats.at_most_once,
            guarded=GuardedCalls(
                guards=self.guards,
                identifier=self.identifier,
                forwarder=self.forwarder,
                levels=admission.spread,
                quarantine=self.outbound.quarantine,
            ),
            timeline=self.timeline,
            metrics=self.metrics,
            rng=self.rng,
            connections=CallerConnections(
                network,
                bounds=settings.connections,
            ),
        )
        self.admin = Admin(
            membership=self.membership,
            identifier=self.identifier,
            state=self.state,
            timeline=self.timeline,
            metrics=self.metrics,
            loads=self.outbound.loads,
            acks=self.control.acks,
            entry=self.entry,
            network=network,
        )

    def count_nodes(self) -> int:
        """Return how many nodes the fleet has, as far as this one knows."""
        return self.control.members.present_count

    async def stop(self) -> None:
        """Leave the fleet without cutting a call; ``run`` is ended after."""
        stopping = GracefulStop(
            membership=self.membership,
            entry=self.entry,
            give_back=self.give_back,
            timeline=self.timeline,
            timeout=self.settings.drain_timeout,
        )
        await stopping.run()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(
                self.links.run,
                Address.parse(self.settings.listen.peers),
            )
            await nursery.start(self.guards.run)
            await nursery.start(self.slots.run)
            await nursery.start(self.control.run)
            await nursery.start(self.outbound.run)
            await nursery.start(self.repeats.run)
            await nursery.start(self.entry.rates.policy.run)
            await nursery.start(
                self.entry.connections.serve,
                Address.parse(self.settings.listen.calls),
                self.entry.handle,
            )
            await nursery.start(
                self.admin.connections.serve,
                Address.parse(self.settings.listen.admin),
                self.admin.handle,
            )
            log_message(message_type='node:started', node=self.settings.node)
            task_status.started()

    async def give_back(self) -> None:
        """Write what is left to record and give up shares, before the end."""
        await self.entry.rates.policy.stop()
        with trio.move_on_after(_FLUSH_SECONDS):
            await self.repeats.outcomes.flush()
