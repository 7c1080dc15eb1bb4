"""What the fleet knows about one node."""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import DomainName, Incarnation, NodeId
from boragetrestle_kernel.target_record import TargetRecord

NODE_PREFIX = 'node/'


class Liveness(IntEnum):
    """Whether a node runs, as far as others can tell.

    At one incarnation a greater state replaces a lesser one.
    """

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3

    @property
    def is_present(self) -> bool:
        """Whether the node counts as part of the fleet."""
        return self < Liveness.DEAD


class Rank(NamedTuple):
    """The order in which records of one node replace each other."""

    incarnation: Incarnation
    liveness: Liveness


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A node with the targets beside it.

    Only the node itself raises its incarnation, so that the incarnation names
    the rest of the record. ``peers`` is the ``IP:PORT`` that takes links.
    """

    node: NodeId
    domain: DomainName
    region: str
    peers: str
    incarnation: Incarnation
    liveness: Liveness = Liveness.ALIVE
    targets: tuple[TargetRecord, ...] = ()

    @property
    def rank(self) -> Rank:
        """The rank among the records of this node."""
        return Rank(self.incarnation, self.liveness)

    @property
    def peer_address(self) -> Address:
        """The address that takes links."""
        return Address.parse(self.peers)


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """A liveness that others give to a node at one incarnation."""

    node: NodeId
    incarnation: Incarnation
    liveness: Liveness


def member_key(node: NodeId) -> str:
    """Return the row key of a node.

    >>> member_key(NodeId('node-7'))
    'node/node-7'
    """
    return NODE_PREFIX + node
