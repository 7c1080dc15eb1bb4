"""Exchange loads, rows of nodes, configurations and crashes along the tree."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from boragetrestle_sidecar.evacuations import EvacuationState
from boragetrestle_sidecar.fleet_load import add_known_costs
from boragetrestle_sidecar.peer_frames import FrameKind
from boragetrestle_sidecar.peer_messages import Crash, EvacuationMessage, Rows
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.tree_messages import TreeReport

if TYPE_CHECKING:
    from boragetrestle_sidecar.config_keeper import ConfigKeeper
    from boragetrestle_sidecar.fleet import Fleet
    from boragetrestle_sidecar.fleet_load import FleetLoad
    from boragetrestle_sidecar.load_aggregation import LoadAggregation
    from boragetrestle_sidecar.member_links import MemberLinks
    from boragetrestle_sidecar.member_table import MemberRow
    from boragetrestle_sidecar.node_status import RouteCost
    from boragetrestle_sidecar.peer_messages import SendFrame
    from boragetrestle_sidecar.store_following import StoreFollowing
    from boragetrestle_sidecar.suspects import Suspects

# A configuration that was sent is not sent again to the same node before this,
# and neither is the whole table of nodes.
RESEND_SECONDS = 0.6
LOAD_INTERVAL_SECONDS = 0.25  # arrivals are averaged over about a second
# After this many intervals without the total the parent is taken for cut off.
# Configurations must be in force within seconds of their change, and until
# another parent has spoken the node reads the store itself.
PARENT_SILENCE_INTERVALS = 3
MAX_REMEMBERED_CRASHES = 4000
_CRASH_ID_BITS = 48  # random numbers of two crashes don't coincide


@dataclass(slots=True, eq=False)
class Neighbour:
    """A parent or child in the tree, and what it was last known to have.

    ``send`` sends a frame and returns whether the connection is open.
    ``has_spoken`` tells whether a report of it has come.
    """

    address: str
    send: 'SendFrame'
    version: int = 0
    has_equal_table: bool = True
    heard_at: float = 0.0
    has_spoken: bool = False
    sent_version: int = 0
    configuration_sent_at: float = 0.0
    rows_sent_at: float = 0.0


class TreeExchange:
    """Send and receive what is passed along the edges of the tree.

    ``interval`` is how often reports are sent, in seconds. ``known_crashes`` has
    the suspected request of each crash by the number of the crash, or nothing
    once a target has answered it.
    """

    def __init__(
        self,
        address: str,
        *,
        fleet: 'Fleet',
        links: 'MemberLinks',
        keeper: 'ConfigKeeper',
        aggregation: 'LoadAggregation',
        store: 'StoreFollowing',
        suspects: 'Suspects',
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.address = address
        self.fleet = fleet
        self.links = links
        self.keeper = keeper
        self.aggregation = aggregation
        self.store = store
        self.suspects = suspects
        self.clock = clock
        self.parent: Neighbour | None = None
        self.children: dict[str, Neighbour] = {}
        self.known_crashes: dict[int, str] = {}
        self.interval = LOAD_INTERVAL_SECONDS
        self.has_lost_parent = False
        self.epoch = 0
        self.epoch_known_at = 0.0
        self.on_total: Callable[[], None] | None = None
        self.on_rows: Callable[[], None] | None = None

    @property
    def is_root(self) -> bool:
        """Whether this node has no parent at the moment."""
        return self.parent is None

    @property
    def leads_domain(self) -> bool:
        """Whether no node of this domain is the parent at the moment.

        Parents have lower ranks, so each part of a domain whose nodes reach
        each other has such a node, whichever others have been lost.
        """
        if self.parent is None:
            return True
        parent = self.fleet.members.get(self.parent.address)
        return parent is None or parent.domain != self.fleet.own.domain

    @property
    def is_cut_off(self) -> bool:
        """Whether a parent was lost and no other has been heard yet."""
        if self.parent is None:
            return bool(self.links.parents) and not self.children
        if not self.parent.has_spoken:
            return self.has_lost_parent
        return self.is_parent_silent

    @property
    def is_parent_silent(self) -> bool:
        """Whether the parent has not sent the total for too long."""
        if self.parent is None:
            return False
        longest = PARENT_SILENCE_INTERVALS * self.interval
        return self.clock() - self.parent.heard_at > longest

    @property
    def leads_most(self) -> bool:
        """Whether this node is the root of more than half of the fleet."""
        nodes = self.aggregation.total.nodes
        return self.is_root and nodes * 2 > len(self.fleet.members)

    def record_epoch(self, epoch: int) -> None:
        """Take over the epoch of the store that this or another node saw.

        Rows of an earlier epoch may be missing in the store.
        """
        if epoch > self.epoch:
            self.epoch = epoch
            self.epoch_known_at = self.clock()

    def report(self, known_costs: 'Iterable[RouteCost]') -> None:
        """Send this node's part of the loads up, or the total down as root.

        ``known_costs`` fill the total for routes that no node has measured
        lately, so that nodes that have just started know them.
        """
        self._choose_parent()
        load = self.aggregation.subtree()
        if self.parent is not None:
            report = self._build_report(load)
            self.parent.send(FrameKind.TREE_LOAD, 0, report)
            return
        self.aggregation.record_total(add_known_costs(load, known_costs))
        self._pass_total_on()

    def receive_from_child(
        self,
        report: TreeReport,
        send: 'SendFrame',
    ) -> None:
        """Take over the report of a child; send it what it lacks."""
        child = self.children.get(report.address)
        if child is None:
            child = Neighbour(report.address, send)
            self.children[report.address] = child
            self._send_crashes(child)
        elif child.send != send:
            child.send = send
            self._send_crashes(child)
        self.aggregation.record_child(report.address, report.load)
        self._update(child, report)

    def receive_from_parent(self, report: TreeReport) -> None:
        """Take over the total; pass it on to the children."""
        parent = self.parent
        if parent is None or parent.address != report.address:
            return
        self.aggregation.record_total(report.load)
        self._update(parent, report)
        self._pass_total_on()

    def merge_rows(
        self,
        rows: 'Iterable[MemberRow]',
        *,
        source: str = '',
    ) -> None:
        """Take over newer rows of nodes and pass those on."""
        self.pass_rows_on(self.fleet.merge_rows(rows), source=source)

    def pass_rows_on(
        self,
        rows: 'list[MemberRow]',
        *,
        source: str = '',
    ) -> None:
        """Send rows that were new to this node to its neighbours."""
        if not rows:
            return
        self._send_to_neighbours(
            FrameKind.ROWS, Rows(self.address, rows), source
        )
        if self.on_rows is not None:
            self.on_rows()

    def apply_evacuations(
        self,
        state: EvacuationState,
        *,
        source: str,
    ) -> None:
        """Take over a newer snapshot of evacuations and pass it on.

        ``source`` is the node that sent it, or ``store``.
        """
        evacuations = self.fleet.evacuations
        if evacuations.apply_if_newer(state, source=source):
            self._send_to_neighbours(
                FrameKind.EVACUATIONS,
                EvacuationMessage(self.address, evacuations.state),
                source,
            )

    def pass_configuration_on(self) -> None:
        """Send the configuration in force to neighbours that lack it."""
        for neighbour in self._neighbours():
            self._send_missing_configuration(neighbour)

    def report_crash(self, found: str, has_crashed: bool) -> None:
        """Tell all nodes whether a suspected request crashed a target.

        ``found`` is the fingerprint of the request.
        """
        crash = random.SystemRandom().getrandbits(_CRASH_ID_BITS)
        self.pass_crash_on(crash, found, has_crashed)

    def pass_crash_on(
        self,
        crash: int,
        found: str,
        has_crashed: bool,
        *,
        source: str = '',
    ) -> bool:
        """Pass a crash on if it is new to this node; return whether it is."""
        if crash in self.known_crashes:
            return False
        if len(self.known_crashes) >= MAX_REMEMBERED_CRASHES:
            self.known_crashes.pop(next(iter(self.known_crashes)))
        if not has_crashed:
            self._forget_crashes(found)
        self.known_crashes[crash] = found if has_crashed else ''
        fields = Crash(self.address, crash, found, has_crashed)
        self._send_to_neighbours(FrameKind.SUSPECT, fields, source)
        return True

    def crashes_of(self, found: str) -> list[int]:
        """Return the numbers of the crashes of a suspected request."""
        return [
            crash
            for crash, known in self.known_crashes.items()
            if known == found
        ]

    def _choose_parent(self) -> None:
        if self.parent is not None and self.is_parent_silent:
            self.links.skip_parent(self.parent.address)
        address = self.links.connected_parent()
        if self.parent is not None and self.parent.address != address:
            self.has_lost_parent = True
        if address is None:
            self.parent = None
        elif self.parent is None or self.parent.address != address:
            link = self.links.get(address)
            assert link is not None
            self.parent = Neighbour(address, link.send, heard_at=self.clock())
            self._send_crashes(self.parent)

    def _forget_crashes(self, found: str) -> None:
        """Send the crashes of a request no more, since it was answered."""
        for crash, known in self.known_crashes.items():
            if known == found:
                self.known_crashes[crash] = ''

    def _send_crashes(self, neighbour: Neighbour) -> None:
        """Send the crashes that still count to a node that may have restarted.

        It passes over those that it knows, by their numbers.
        """
        for crash, found in self.known_crashes.items():
            if self.suspects.is_recent(found):
                fields = Crash(self.address, crash, found, has_crashed=True)
                neighbour.send(FrameKind.SUSPECT, 0, fields)

    def _build_report(self, load: 'FleetLoad') -> TreeReport:
        return TreeReport(
            self.address,
            load,
            self.keeper.version,
            self.fleet.table.digest,
            self.epoch,
            round(self.store.age, 1),
            self.fleet.evacuations.state,
        )

    def _pass_total_on(self) -> None:
        report = self._build_report(self.aggregation.total)
        for address, child in list(self.children.items()):
            if not child.send(FrameKind.TREE_TOTAL, 0, report):
                self.children.pop(address)
                self.aggregation.remove_child(address)
        if self.on_total is not None:
            self.on_total()

    def _update(self, neighbour: Neighbour, report: TreeReport) -> None:
        neighbour.heard_at = self.clock()
        neighbour.has_spoken = True
        neighbour.version = report.version
        self.store.record_age(report.store_age)
        self.record_epoch(report.epoch)
        self.apply_evacuations(report.evacuations, source=report.address)
        self._send_missing_configuration(neighbour)
        was_equal = neighbour.has_equal_table
        neighbour.has_equal_table = report.digest == self.fleet.table.digest
        # A single difference may be a row that is on its way.
        if neighbour.has_equal_table or (was_equal and report.digest):
            return
        if self.clock() - neighbour.rows_sent_at > RESEND_SECONDS:
            neighbour.rows_sent_at = self.clock()
            rows = list(self.fleet.table.rows.values())
            neighbour.send(FrameKind.ROWS, 0, Rows(self.address, rows))

    def _send_missing_configuration(self, neighbour: Neighbour) -> None:
        configuration = self.keeper.configuration
        if configuration is None or neighbour.version >= configuration.version:
            return
        is_new = neighbour.sent_version != configuration.version
        sent_ago = self.clock() - neighbour.configuration_sent_at
        if is_new or sent_ago > RESEND_SECONDS:
            neighbour.sent_version = configuration.version
            neighbour.configuration_sent_at = self.clock()
            document = [configuration.document]
            neighbour.send(FrameKind.CONFIGURATION, 0, document)

    def _neighbours(self) -> list[Neighbour]:
        parents = [] if self.parent is None else [self.parent]
        return [*parents, *self.children.values()]

    def _send_to_neighbours(
        self,
        kind: FrameKind,
        fields: object,
        source: str,
    ) -> None:
        for neighbour in self._neighbours():
            if neighbour.address != source:
                neighbour.send(kind, 0, fields)
