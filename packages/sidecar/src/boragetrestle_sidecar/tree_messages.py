"""Messages along the edges of the tree of nodes."""

from typing import NamedTuple

from boragetrestle_sidecar.evacuations import EvacuationState
from boragetrestle_sidecar.fleet_load import FleetLoad
from boragetrestle_sidecar.peer_numbers import Amount


class TreeReport(NamedTuple):
    """What a child sends to its parent, and a parent to its children.

    ``load`` is that of the child's part of the fleet, or the total from the
    parent. ``version`` is that of the configuration in force, ``digest`` of the
    table of nodes. ``epoch`` is the newest epoch of the store that a node has
    seen, and ``store_age`` the seconds since a node heard from the store.
    ``evacuations`` repairs what a lost ``EVACUATIONS`` frame carried.
    """

    address: str
    load: FleetLoad
    version: int
    digest: int
    epoch: int
    store_age: Amount
    evacuations: EvacuationState = EvacuationState()
