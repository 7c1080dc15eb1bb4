"""Record of a target, which nodes exchange."""

from enum import Enum

import msgspec

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import (
    DomainName,
    Incarnation,
    NodeId,
    ServiceName,
    TargetId,
)


class TargetState(Enum):
    """State of a target; only a ``READY`` one gets new calls."""

    READY = 'ready'
    SUSPECTED = 'suspected'
    DRAINING = 'draining'
    GONE = 'gone'


class TargetRecord(msgspec.Struct, frozen=True):
    """A target (an instance of a service) with the node beside it.

    A record replaces another of the same target if its incarnation is greater.
    Addresses are ``IP:PORT``; those that start with ``node_`` are of the node.
    ``slots`` and ``connections`` limit concurrent calls and open connections.
    """

    target: TargetId
    service: ServiceName
    node: NodeId
    domain: DomainName
    address: str
    node_calls: str
    node_peers: str
    node_admin: str
    slots: int
    connections: int
    state: TargetState = TargetState.READY
    incarnation: Incarnation = Incarnation(1)
    region: str = ''

    @property
    def target_address(self) -> Address:
        """The address where the target itself takes calls."""
        return Address.parse(self.address)
