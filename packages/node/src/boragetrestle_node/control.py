"""The control plane of a node: members, configuration and freshness."""

import random

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import DomainName, NodeId
from boragetrestle_kernel.settings import NodeSettings
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.ack_wave import AckWave
from boragetrestle_node.config_reader import ConfigReader
from boragetrestle_node.config_spread import ConfigSpread
from boragetrestle_node.directory import Directory
from boragetrestle_node.discovery import Discovery
from boragetrestle_node.fleet_messages import Heartbeat
from boragetrestle_node.freshness import FRESH_SECONDS, Freshness
from boragetrestle_node.freshness_exchange import FreshnessExchange
from boragetrestle_node.liveness_watch import LivenessWatch
from boragetrestle_node.members import Members
from boragetrestle_node.membership import Membership
from boragetrestle_node.neighbours import Neighbours
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.reader_election import ReaderElection
from boragetrestle_node.row_sweep import RowSweep
from boragetrestle_node.rumour_spread import RumourSpread
from boragetrestle_platform.change_log import ChangeLog
from boragetrestle_platform.platform import Platform
from boragetrestle_platform.snapshots import Snapshots
from boragetrestle_platform.table import Table

_ASKED_PEERS = 3
_INFORMED_SECONDS = 2.0


class Control:
    """Compose the parts that keep this node in agreement with the fleet.

    ``head_table`` is the table without the guard of ``platform``: the few
    readers of the head try at their own pace, also in an outage, since a
    failed read is evidence only if the store was really asked.
    """

    def __init__(
        self,
        settings: NodeSettings,
        platform: Platform,
        *,
        head_table: Table,
        state: FleetState,
        directory: Directory,
        links: PeerLinks,
        timeline: Timeline,
        first_incarnation: int,
        rng: random.Random,
    ) -> None:
        self.state = state
        self.links = links
        self.members = Members()
        self.members.watchers.append(directory.follow)
        self.membership = Membership(
            settings,
            platform.table,
            directory,
            members=self.members,
            timeline=timeline,
            first_incarnation=first_incarnation,
            rng=rng,
        )
        own = self.membership.record
        self.neighbours = Neighbours(own, self.members, links)
        self.freshness = Freshness()
        self.watch = LivenessWatch(
            self.members,
            self.neighbours,
            make_beat=self.make_beat,
            is_informed=self.is_informed,
            timeline=timeline,
            rng=rng,
        )
        self.spread = RumourSpread(
            self.members,
            self.membership,
            self.neighbours,
            timeline,
        )
        self.discovery = Discovery(
            settings,
            platform.table,
            self.members,
            self.spread,
            rng=rng,
        )
        self.election = ReaderElection(own, self.members)
        self.config = ConfigSpread(state, links, timeline)
        self.reader = ConfigReader(
            ChangeLog(head_table),
            Snapshots(platform.table, platform.objects),
            self.config,
            self.freshness,
            timeline,
            domain=DomainName(settings.domain),
            rng=rng,
        )
        self.sweep = RowSweep(
            platform.table,
            self.members,
            self.spread,
            rng=rng,
        )
        self.exchange = FreshnessExchange(
            self.freshness,
            self.members,
            self.neighbours,
            self.watch,
            timeline=timeline,
            rng=rng,
        )
        self.acks = AckWave(state, self.members, self.neighbours)
        self.told_second = 0
        self.nursery: trio.Nursery | None = None
        self.config.watchers.append(self.watch.beat)
        self.reader.watchers.append(self.tell_read)
        links.on(Heartbeat, self.receive_beat)

    def make_beat(self) -> Heartbeat:
        """Return what neighbours are told about this node."""
        return Heartbeat(
            incarnation=self.membership.record.incarnation,
            version=self.state.version,
            store_time=self.freshness.store_time,
            confirmed=self.freshness.confirmed,
            digest=self.members.digest,
        )

    def has_store(self) -> bool:
        """Return whether this node itself read the store lately."""
        since = trio.current_time() - self.freshness.own_read_at
        return since <= FRESH_SECONDS

    def is_informed(self) -> bool:
        """Return whether the store was read later than a silence began.

        The bound is well below the silence after which a neighbour is accused.
        """
        age = self.freshness.age(now=trio.current_time())
        return age < _INFORMED_SECONDS

    def is_reader(self) -> bool:
        """Return whether this node reads the store for its failure domain."""
        return self.election.is_elected or self.watch.is_isolated

    def tell_read(self) -> None:
        """Tell neighbours of a read, once in each second of the store."""
        second = int(self.freshness.store_time)
        if second > self.told_second:
            self.told_second = second
            self.watch.beat()

    async def receive_beat(self, sender: NodeId, beat: Heartbeat) -> None:
        """Take a heartbeat of a neighbour."""
        await trio.lowlevel.checkpoint()
        self.watch.note_beat(sender, beat)
        is_newer = self.freshness.confirm(
            beat.store_time,
            beat.confirmed,
            in_force=self.state.version,
        )
        if is_newer:
            self.tell_read()
        address = self.neighbours.address(sender)
        if address is None or self.nursery is None:
            return
        if beat.version > self.state.version:
            self.nursery.start_soon(self.config.pull, address)
        if self.discovery.wants_mending(sender, beat):
            self.nursery.start_soon(self.discovery.mend, address)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Join the fleet, then keep in agreement with it until cancelled.

        The links have to accept before. The node counts as started once it
        has asked the store and its peers, whether or not these answered.
        """
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.membership.begin()
            await self._learn()
            nursery.start_soon(self.spread.run)
            nursery.start_soon(self.watch.run)
            nursery.start_soon(self.membership.keep_row)
            nursery.start_soon(self.discovery.run)
            nursery.start_soon(self.reader.run, self.is_reader)
            nursery.start_soon(self.sweep.run, self.is_reader)
            nursery.start_soon(self.exchange.run)
            task_status.started()

    async def _learn(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.discovery.join)
            nursery.start_soon(self.reader.read)
        if self.has_store():
            return
        async with trio.open_nursery() as nursery:
            for address in self.neighbours.addresses()[:_ASKED_PEERS]:
                nursery.start_soon(self._learn_from, address)

    async def _learn_from(self, address: Address) -> None:
        await self.config.pull(address)
        await self.exchange.ask(address)
