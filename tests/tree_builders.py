"""A model of a fleet whose nodes pass messages along their tree."""

import random
from collections import Counter
from collections.abc import Iterable, Sequence
from functools import partial
from typing import Any

from entry_builders import status
from path_builders import LineLog, ManualClock, configuration

from boragetrestle_kernel.errors import WireError
from boragetrestle_platform.table import Row
from boragetrestle_sidecar.config_keeper import ConfigKeeper
from boragetrestle_sidecar.configuration import Configuration
from boragetrestle_sidecar.domain_tree import DomainTree
from boragetrestle_sidecar.evacuations import Evacuations
from boragetrestle_sidecar.fleet import Fleet
from boragetrestle_sidecar.fleet_load import load_of
from boragetrestle_sidecar.load_aggregation import LoadAggregation
from boragetrestle_sidecar.member import Member
from boragetrestle_sidecar.peer_frames import (
    FrameKind,
    FrameReader,
    encode_frame,
)
from boragetrestle_sidecar.peer_messages import PeerMessages
from boragetrestle_sidecar.store_following import StoreFollowing
from boragetrestle_sidecar.target_notice import TargetNotice
from boragetrestle_sidecar.tree_exchange import TreeExchange

STEP_SECONDS = 0.5
DOMAINS = 5


def member(number: int, *, domains: int = DOMAINS) -> Member:
    """Return one of the nodes of a fleet."""
    return Member(
        f'10.{number // 256}.{number % 256}.1:7000',
        f'zone-{number % domains}',
        f'service-{number % 4}',
    )


def members(count: int, *, domains: int = DOMAINS) -> list[Member]:
    """Return the nodes of a fleet."""
    return [member(number, domains=domains) for number in range(count)]


def rows_of(nodes: Iterable[Member], version: int = 1) -> dict[str, Row]:
    """Return the rows of nodes in the store."""
    return {
        each.address: Row(each.address, each.encode(), version)
        for each in nodes
    }


def document(content: bytes) -> Configuration:
    """Decode a configuration whose document is its version."""
    if not content.isdigit():
        raise WireError(
            f'the document {content!r} is no version',
            remedy='send a number',
        )
    return configuration(version=int(content))


class ModelLink:
    """The connection of a child to its parent."""

    def __init__(self, child: 'ModelNode', parent: 'ModelNode') -> None:
        self.child = child
        self.parent = parent
        self.answer = partial(child.receive, parent)

    def send(self, kind: FrameKind, number: int, fields: object) -> bool:
        """Send a frame to the parent."""
        return self.parent.receive(
            self.child, kind, number, fields, answer=self.answer
        )


class ModelLinks:
    """The links of a node in the model, which open without delay."""

    def __init__(self, node: 'ModelNode', fleet: Fleet) -> None:
        self.node = node
        self.fleet = fleet
        self.parents: list[str] = []
        self.skipped: set[str] = set()
        self.is_follower = True

    def set_members(self, known: Sequence[Member]) -> None:
        """Place the node in the tree."""
        tree = DomainTree(self.fleet.address, known)
        self.parents = tree.parents
        self.is_follower = tree.is_follower

    def skip_parent(self, address: str) -> None:
        """Pass over a candidate for good."""
        self.skipped.add(address)

    def connected_parent(self) -> str | None:
        """Return the first candidate that can be reached."""
        reachable = self.node.model.reachable_from(self.node)
        for address in self.parents:
            if address in reachable and address not in self.skipped:
                return address
        return None

    def get(self, address: str) -> ModelLink:
        """Return the link to a node."""
        return ModelLink(self.node, self.node.model.nodes[address])


class ModelNode:
    """The parts of a node that know the rest of the fleet."""

    def __init__(self, model: 'ModelFleet', own: Member) -> None:
        self.model = model
        self.own = own
        self.is_up = True
        self.fleet = Fleet(
            own, Evacuations(LineLog(model.clock)), clock=model.clock
        )
        links: Any = ModelLinks(self, self.fleet)
        self.links = links
        self.keeper = ConfigKeeper(document, model.log, clock=model.clock)
        self.aggregation = LoadAggregation(clock=model.clock)
        self.following = StoreFollowing(
            is_first_start=False,
            links=links,
            chance=model.chance,
            clock=model.clock,
        )
        suspects: Any = self
        self.tree = TreeExchange(
            own.address,
            fleet=self.fleet,
            links=links,
            keeper=self.keeper,
            aggregation=self.aggregation,
            store=self.following,
            suspects=suspects,
            clock=model.clock,
        )
        self.tree.interval = STEP_SECONDS
        self.following.tree = self.tree
        self.fleet.on_members_changed = links.set_members
        self.keeper.subscribers.append(
            lambda _configuration: self.tree.pass_configuration_on()
        )
        self.crashes: list[str] = []
        self.heard_versions: list[int] = []
        self.notices: list[TargetNotice] = []
        rates: Any = None
        self.messages = PeerMessages(
            fleet=self.fleet,
            keeper=self.keeper,
            rates=rates,
            suspects=suspects,
            tree=self.tree,
            own_load=lambda: None,  # type: ignore[arg-type,return-value]
            on_peer_heard=self.heard_versions.append,
            on_notice=self.notices.append,
            log=model.log,
        )

    def record_crash(self, found: str, *, is_own: bool) -> None:
        """Record a crash that the node was told of."""
        assert not is_own
        self.crashes.append(found)

    def clear(self, found: str, *, is_own: bool) -> None:
        """Forget a request that a target has answered."""
        assert not is_own
        self.crashes = [each for each in self.crashes if each != found]

    def is_recent(self, found: str) -> bool:
        """Return whether the node still counts the crashes of a request."""
        return found in self.crashes

    def receive(
        self,
        sender: 'ModelNode',
        kind: FrameKind,
        number: int,
        fields: object,
        *,
        answer: Any = None,
    ) -> bool:
        """Handle a frame of another node; return whether it arrived."""
        if sender.own.address not in self.model.reachable_from(self):
            return False
        if {sender.own.address, self.own.address} & self.model.silent:
            return True
        encoded = encode_frame(kind, number, fields)
        self.model.count_bytes(sender, self, kind, len(encoded))
        (frame,) = FrameReader().feed(encoded)
        self.messages.handle(frame, answer, None)
        return True

    def step(self, arrivals: float) -> None:
        """Report this node's load."""
        self.aggregation.own = load_of(
            status(
                self.own.service,
                limit=7,
                arrivals={'browse': arrivals},
            )
        )
        self.tree.report(())


class ModelFleet:
    """Nodes on one clock; those in ``cut`` reach only each other.

    What those in ``silent`` send or are sent is lost without a reset.
    """

    def __init__(self, count: int, *, domains: int = DOMAINS) -> None:
        self.clock = ManualClock()
        self.log = LineLog(self.clock)
        self.chance = random.Random(1)
        self.cut: set[str] = set()
        self.silent: set[str] = set()
        self.bytes_sent: Counter[str] = Counter()
        self.bytes_by_kind: Counter[FrameKind] = Counter()
        self.bytes_between_domains = 0
        self.nodes = {
            own.address: ModelNode(self, own)
            for own in members(count, domains=domains)
        }

    @property
    def running(self) -> list[ModelNode]:
        """The nodes that are up."""
        return [node for node in self.nodes.values() if node.is_up]

    def reachable_from(self, node: ModelNode) -> set[str]:
        """Return the addresses of the nodes that a node can reach."""
        is_cut = node.own.address in self.cut
        return {
            address
            for address, other in self.nodes.items()
            if other.is_up and (address in self.cut) == is_cut
        }

    def read_table(self, epoch: int = 0) -> None:
        """Let all nodes read the whole table of nodes."""
        rows = rows_of(node.own for node in self.nodes.values())
        for node in self.running:
            node.fleet.replace_rows(rows, epoch=epoch, position=1)

    def restart(self, address: str) -> ModelNode:
        """Replace a node by a new process and return it."""
        old = self.nodes[address]
        new = ModelNode(self, old.own)
        self.nodes[address] = new
        rows = rows_of(node.own for node in self.nodes.values())
        new.fleet.replace_rows(rows, epoch=0, position=1)
        return new

    def play(self, seconds: float, arrivals: float = 1.0) -> None:
        """Let all nodes report, in random order, for some time."""
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            nodes = self.running
            self.chance.shuffle(nodes)
            for node in nodes:
                node.step(arrivals)

    def count_bytes(
        self,
        sender: ModelNode,
        receiver: ModelNode,
        kind: FrameKind,
        count: int,
    ) -> None:
        """Count the bytes of a frame."""
        self.bytes_sent[sender.own.address] += count
        self.bytes_by_kind[kind] += count
        if sender.own.domain != receiver.own.domain:
            self.bytes_between_domains += count
