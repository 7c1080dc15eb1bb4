"""Membership record of a node, which nodes exchange and store."""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import DomainName, Incarnation, NodeId
from boragetrestle_kernel.target_record import TargetRecord

NODE_PREFIX = 'node/'


class Liveness(IntEnum):
    """Liveness of a node, as its peers observe it.

    At the same incarnation a greater state replaces a lesser one.
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
    """Order of a node's records: one of higher rank replaces a lower."""

    incarnation: Incarnation
    liveness: Liveness


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A node with the targets beside it.

    Only the node itself raises its incarnation, a number that it increases
    whenever its record changes, so records of one incarnation differ in their
    liveness only. ``peers`` is the ``IP:PORT`` where it accepts connections
    from other nodes.
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
        """The rank of this record among the records of the node."""
        return Rank(self.incarnation, self.liveness)

    @property
    def peer_address(self) -> Address:
        """The address that accepts connections from other nodes."""
        return Address.parse(self.peers)


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """The liveness that peers assign to one incarnation of a node."""

    node: NodeId
    incarnation: Incarnation
    liveness: Liveness


def member_key(node: NodeId) -> str:
    """Return the table key of a node's record.

    >>> member_key(NodeId('node-7'))
    'node/node-7'
    """
    return NODE_PREFIX + node
