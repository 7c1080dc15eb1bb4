"""What the fleet knows about one target."""

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
    """State of a target; only ``READY`` targets get new calls."""

    READY = 'ready'
    SUSPECTED = 'suspected'
    DRAINING = 'draining'
    GONE = 'gone'


class TargetRecord(msgspec.Struct, frozen=True):
    """A target with the node beside it.

    A record replaces another of the same target if its incarnation is greater.
    Addresses are ``IP:PORT``.
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
        """The address that takes calls directly."""
        return Address.parse(self.address)
