"""The overlay: which nodes a node keeps links to."""

from bisect import bisect_left, insort
from math import ceil, log2
from typing import NamedTuple

import xxhash

from boragetrestle_kernel.ids import NodeId

_MAX_RINGS = 8
_MIN_RINGS = 2


class RingPlace(NamedTuple):
    """The place of a node in a ring, ordered by group and then by hash."""

    group: int
    digest: int
    node: NodeId


class Overlay:
    """Join all nodes by rings in independent orders.

    The order of each ring follows from hashes of the node ids, so that nodes
    with the same view choose the same links. Every node has two neighbours in
    a ring; about half of log2 of the fleet's size rings are used, which makes
    a random regular graph of about log2 of that size links a node. The first
    ring keeps the nodes of a failure domain together; the others mix domains
    and regions.

    >>> overlay = Overlay(NodeId('a'))
    >>> overlay.add(NodeId('b'), group='domain')
    >>> overlay.neighbours
    frozenset({'b'})
    """

    def __init__(self, node: NodeId, *, group: str = '') -> None:
        self.node = node
        self.groups: dict[NodeId, str] = {}
        self.rings: list[list[RingPlace]] = [[] for _ in range(_MAX_RINGS)]
        self.neighbours: frozenset[NodeId] = frozenset()
        self.add(node, group=group)

    def add(self, node: NodeId, *, group: str) -> None:
        """Place a node in all rings."""
        if node in self.groups:
            return
        self.groups[node] = group
        for number, ring in enumerate(self.rings):
            insort(ring, _place(number, node, group))
        self.neighbours = self.links_of(self.node)

    def remove(self, node: NodeId) -> None:
        """Take a node out of all rings; the own node stays."""
        if node == self.node or node not in self.groups:
            return
        group = self.groups.pop(node)
        for number, ring in enumerate(self.rings):
            ring.pop(bisect_left(ring, _place(number, node, group)))
        self.neighbours = self.links_of(self.node)

    @property
    def ring_count(self) -> int:
        """How many rings a fleet of this size uses."""
        wanted = ceil(log2(len(self.groups) + 1) / 2)
        return max(_MIN_RINGS, min(_MAX_RINGS, wanted))

    def links_of(self, node: NodeId) -> frozenset[NodeId]:
        """Return the neighbours that the overlay gives to a node."""
        chosen: set[NodeId] = set()
        group = self.groups[node]
        for number, ring in enumerate(self.rings[: self.ring_count]):
            own = bisect_left(ring, _place(number, node, group))
            chosen.add(ring[own - 1].node)
            chosen.add(ring[(own + 1) % len(ring)].node)
        return frozenset(chosen - {node})


def _place(number: int, node: NodeId, group: str) -> RingPlace:
    return RingPlace(
        group=0 if number else xxhash.xxh64_intdigest(group.encode()),
        digest=xxhash.xxh64_intdigest(node.encode(), seed=number),
        node=node,
    )
