"""The links of the overlay, as one node keeps them."""

from typing import Any

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.member_record import MemberRecord
from boragetrestle_node.members import Members
from boragetrestle_node.overlay import Overlay
from boragetrestle_node.peer_links import PeerLinks

SILENT_SECONDS = 3.0

_DIAL_GRACE_SECONDS = 2.0


class Neighbours:
    """Follow the members, and reach the neighbours that the overlay gives.

    A node that sends heartbeats without being a neighbour, since views differ
    for a moment, is a guest and gets heartbeats too.
    """

    def __init__(
        self,
        own: MemberRecord,
        members: Members,
        links: PeerLinks,
    ) -> None:
        self.own = own.node
        self.group = _group(own)
        self.members = members
        self.links = links
        self.overlay = Overlay(own.node, group=_group(own))
        self.since: dict[NodeId, float] = {}
        self.heard: dict[NodeId, float] = {}
        members.watchers.append(self.follow)

    def follow(self, record: MemberRecord, _known: MemberRecord | None) -> None:
        """Keep the overlay in step with the nodes that are present."""
        if record.liveness.is_present:
            self.overlay.add(record.node, group=_group(record))
        else:
            self.overlay.remove(record.node)

    def note_heard(self, node: NodeId) -> None:
        """Remember that a node was heard now."""
        self.heard[node] = trio.current_time()

    def renew(self) -> None:
        """Grant every neighbour the full time of silence from now on."""
        now = trio.current_time()
        chosen = self.overlay.neighbours
        self.since = {node: self.since.get(node, now) for node in chosen}
        self.heard = {
            node: at
            for node, at in self.heard.items()
            if node in chosen or now - at < SILENT_SECONDS
        }

    def forgive(self) -> None:
        """Forget all silence, after this node itself was paused."""
        now = trio.current_time()
        self.since = {node: now for node in self.overlay.neighbours}

    def silence(self, node: NodeId) -> float:
        """Return the seconds since a neighbour was last heard."""
        now = trio.current_time()
        last = max(self.heard.get(node, 0), self.since.get(node, now))
        return now - last

    def silent(self) -> list[NodeId]:
        """Return the neighbours that were not heard for too long."""
        return [
            node
            for node in sorted(self.overlay.neighbours)
            if self.silence(node) > SILENT_SECONDS
        ]

    def crossing(self) -> frozenset[NodeId]:
        """Return the neighbours in other failure domains."""
        groups = self.overlay.groups
        return frozenset(
            node
            for node in self.overlay.neighbours
            if groups[node] != self.group
        )

    def address(self, node: NodeId) -> Address | None:
        """Return the address of a node if it is known."""
        record = self.members.records.get(node)
        return record.peer_address if record else None

    def addresses(self) -> list[Address]:
        """Return the addresses of all neighbours, in order of node."""
        found = map(self.address, sorted(self.overlay.neighbours))
        return [address for address in found if address is not None]

    def beat(self, message: Any) -> None:
        """Send a heartbeat to the neighbours and guests.

        The lesser node of a pair dials, so that a pair shares one link; the
        other dials only if no link comes up.
        """
        self.renew()
        now = trio.current_time()
        chosen = [
            node
            for node in sorted(self.overlay.neighbours | set(self.heard))
            if self._may_send(node, now)
        ]
        found = map(self.address, chosen)
        self.links.broadcast(
            (address for address in found if address is not None),
            message,
        )

    def broadcast(self, message: Any) -> None:
        """Send a message to all neighbours."""
        self.links.broadcast(self.addresses(), message)

    def _may_send(self, node: NodeId, now: float) -> bool:
        address = self.address(node)
        if address is None or self.own < node:
            return address is not None
        waited = now - self.since.get(node, now)
        return waited > _DIAL_GRACE_SECONDS or self.links.is_open(address)


def _group(record: MemberRecord) -> str:
    return f'{record.region}/{record.domain}'
