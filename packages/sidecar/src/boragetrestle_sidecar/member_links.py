"""Maintain a link to every other node of the fleet."""

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING

from boragetrestle_kernel.address import Address
from boragetrestle_sidecar.peer_frames import FrameKind
from boragetrestle_sidecar.peer_link import PeerLink

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.fleet import Fleet
    from boragetrestle_sidecar.peer_messages import PeerMessages


class MemberLinks:
    """Open links to nodes that join and close those of nodes that leave."""

    def __init__(
        self, address: str, fleet: 'Fleet', log: 'DecisionLog'
    ) -> None:
        self.address = address
        self.fleet = fleet
        self.log = log
        self.links: dict[str, PeerLink] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.messages: PeerMessages | None = None

    def get(self, address: str) -> PeerLink | None:
        """Return the link to a node, or None for an unknown address."""
        return self.links.get(address)

    @property
    def all_connected(self) -> bool:
        """Whether all links are open."""
        return all(link.is_up for link in self.links.values())

    def set_members(self, members: Sequence[str]) -> None:
        """Open and retire links so that they match the nodes of the fleet."""
        joined = set(members) - {self.address} - self.links.keys()
        left = self.links.keys() - set(members)
        self.log.write_unlimited(
            'members-changed',
            count=len(members),
            joined=sorted(joined),
            left=sorted(left),
        )
        for address in joined:
            self._open(address)
        for address in left:
            self._retire(address)

    def check_liveness(self, now: float) -> None:
        """Ping quiet peers and drop the links of silent ones."""
        for link in list(self.links.values()):
            link.check_liveness(now)

    def broadcast_suspect(self, found: str, has_crashed: bool) -> None:
        """Tell all nodes whether a suspected request crashed a target.

        ``found`` is the fingerprint of the request.
        """
        for link in self.links.values():
            link.send(FrameKind.SUSPECT, 0, [found, has_crashed])

    def _open(self, address: str) -> None:
        assert self.messages is not None
        link = PeerLink(Address.parse(address), self.messages, self.log)
        self.links[address] = link
        self.fleet.add(address, link)
        loop = asyncio.get_running_loop()
        self.tasks[address] = loop.create_task(link.stay_connected())

    def _retire(self, address: str) -> None:
        """Stop reconnecting to a node that has left.

        Runs that it still serves may end on the open connection.
        """
        link = self.links.pop(address)
        self.tasks.pop(address).cancel()
        self.fleet.remove(address)
        if not link.replies:
            link.abort()
