"""Spread messages among nodes through a few peers of each."""

import random
from collections.abc import Callable, Sequence
from typing import Any

from boragetrestle_kernel.address import Address
from boragetrestle_node.peer_links import PeerLinks

FANOUT_PEERS = 3


class Gossip:
    """Send news to a few neighbours, which send on what is news to them.

    ``neighbours`` returns the addresses of the nodes that this one keeps links
    to.
    """

    def __init__(
        self,
        links: PeerLinks,
        neighbours: Callable[[], Sequence[Address]],
        rng: random.Random,
    ) -> None:
        self.links = links
        self.neighbours = neighbours
        self.rng = rng

    def spread(self, message: Any) -> None:
        """Queue a message for some neighbours."""
        addresses = self.neighbours()
        count = min(FANOUT_PEERS, len(addresses))
        for address in self.rng.sample(list(addresses), k=count):
            self.links.send(address, message)

    def flood(self, message: Any) -> None:
        """Queue a rare message for all neighbours."""
        for address in self.neighbours():
            self.links.send(address, message)
