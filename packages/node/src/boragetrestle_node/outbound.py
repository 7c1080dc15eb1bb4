"""The way of calls from a node to targets, and what the node learns there."""

import random
from typing import NamedTuple

import trio

import boragetrestle_node.chain_budget  # noqa: F401
import boragetrestle_node.near_choice  # noqa: F401
from boragetrestle_kernel.clock import WallClock
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.settings import NodeSettings
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.admission_control import AdmissionControl
from boragetrestle_node.connection_warmer import ConnectionWarmer
from boragetrestle_node.control import Control
from boragetrestle_node.directory import Directory
from boragetrestle_node.dispatcher import Dispatcher, Dispatching
from boragetrestle_node.ejector import Ejector
from boragetrestle_node.forwarder import Forwarder
from boragetrestle_node.gossip import Gossip
from boragetrestle_node.guards import Guards
from boragetrestle_node.identity import Identifier
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.policies import Policies
from boragetrestle_node.quarantine import Quarantine
from boragetrestle_node.retry_policy import RETRY_POLICIES
from boragetrestle_node.service_load import ServiceLoad
from boragetrestle_node.slot_source import SlotSource
from boragetrestle_node.target_book import TargetBook
from boragetrestle_node.target_choice import (
    TARGET_CHOICES,
    ChoiceInputs,
    TargetChoice,
)
from boragetrestle_node.target_probe import TargetProbe
from boragetrestle_node.target_subset import TargetSubsets
from boragetrestle_node.target_watch import TargetWatch

_NUMBERS_PER_SECOND = 100


class OutboundParts(NamedTuple):
    """The parts of a node that the way to targets is built on."""

    settings: NodeSettings
    policies: Policies
    network: Network
    clock: WallClock
    state: FleetState
    directory: Directory
    control: Control
    links: PeerLinks
    guards: Guards
    slots: SlotSource
    forwarder: Forwarder
    identifier: Identifier
    timeline: Timeline
    rng: random.Random


class Outbound:
    """Compose choice, retries, ejection and admission of one node."""

    def __init__(self, parts: OutboundParts) -> None:
        self.directory = parts.directory
        self.book = TargetBook()
        self.watch = TargetWatch(
            self.book,
            Ejector(self.book, parts.timeline, parts.links, parts.rng),
            parts.directory,
        )
        self.probe = TargetProbe(
            parts.control.membership,
            parts.links,
            parts.timeline,
            network=parts.network,
        )
        self.warmer = ConnectionWarmer(
            parts.forwarder.pool,
            self.book,
            parts.directory,
            count_nodes=lambda: parts.control.members.present_count,
        )
        self.gossip = Gossip(
            parts.links,
            parts.control.neighbours.addresses,
            parts.rng,
        )
        self.quarantine = Quarantine(
            self.gossip,
            parts.timeline,
            clock=parts.clock,
            network=parts.network,
        )
        now = parts.clock.wall()
        self.admission = AdmissionControl(
            parts.policies.admission,
            self.gossip,
            state=parts.state,
            directory=parts.directory,
            guards=parts.guards,
            timeline=parts.timeline,
            rng=parts.rng,
            first_number=int(now * _NUMBERS_PER_SECOND),
        )
        self.loads = ServiceLoad(
            parts.control.membership.own,
            parts.links,
            parts.directory,
            self.admission.levels,
            signals=parts.guards.signals,
        )
        build_retries = RETRY_POLICIES[parts.policies.retries]
        self.dispatcher = Dispatcher(
            Dispatching(
                identifier=parts.identifier,
                directory=parts.directory,
                choice=self._choice(parts),
                watch=self.watch,
                slots=parts.slots,
                forwarder=parts.forwarder,
                retries=build_retries(parts.state, parts.rng),
                levels=self.admission.spread,
                quarantine=self.quarantine,
                timeline=parts.timeline,
            ),
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the background tasks; targets known now count as warm."""
        self.book.warm.update(self.directory.records)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.warmer.run)
            nursery.start_soon(self.probe.run)
            nursery.start_soon(self.admission.spread.run)
            nursery.start_soon(self.quarantine.run)
            nursery.start_soon(self.loads.run)
            task_status.started()

    def _choice(self, parts: OutboundParts) -> TargetChoice:
        settings = parts.settings
        build = TARGET_CHOICES[parts.policies.choice]
        return build(
            ChoiceInputs(
                book=self.book,
                ejector=self.watch.ejector,
                subsets=TargetSubsets(settings.node, settings.domain),
                rng=parts.rng,
            ),
        )
