"""Shape of the overlay at the size of the whole fleet."""

from math import log2

from boragetrestle_kernel.ids import NodeId
from boragetrestle_node.overlay import Overlay

_NODES = [NodeId(f'node-{number}') for number in range(2200)]
_DOMAINS = 5


def _group(node: NodeId) -> str:
    return f'domain-{_NODES.index(node) % _DOMAINS}'


def _links() -> dict[NodeId, frozenset[NodeId]]:
    groups = {node: f'domain-{at % _DOMAINS}' for at, node in enumerate(_NODES)}
    overlay = Overlay(_NODES[0], group=groups[_NODES[0]])
    for node in _NODES[1:]:
        overlay.add(node, group=groups[node])
    return {node: overlay.links_of(node) for node in _NODES}


def _reached(links: dict[NodeId, frozenset[NodeId]], start: NodeId) -> int:
    """Return the hops to the last node; require that there is a path."""
    seen = {start}
    edge = {start}
    hops = 0
    while edge:
        edge = {near for node in edge for near in links[node]} - seen
        seen |= edge
        hops += bool(edge)
    assert len(seen) == len(links)
    return hops


def test_links_are_few_mutual_and_short():
    links = _links()
    bound = log2(len(_NODES)) + 2
    assert max(len(near) for near in links.values()) <= bound
    assert all(node in links[near] for node in links for near in links[node])
    assert _reached(links, _NODES[7]) <= 5


def test_some_links_stay_in_the_domain_and_most_cross():
    groups = {node: _group(node) for node in _NODES}
    inside = [
        sum(groups[other] == groups[node] for other in near)
        for node, near in _links().items()
    ]
    assert min(inside) >= 1
    assert sum(inside) < sum(len(near) for near in _links().values()) / 2


def test_overlay_stays_whole_without_a_domain():
    links = _links()
    left = {node for node in _NODES if _group(node) != 'domain-1'}
    rest = {node: links[node] & left for node in left}
    assert _reached(rest, _NODES[0]) <= 6


def test_order_of_arrival_does_not_matter():
    one = Overlay(_NODES[0])
    other = Overlay(_NODES[0])
    for node in _NODES[1:60]:
        one.add(node, group='')
    for node in reversed(_NODES[1:80]):
        other.add(node, group='')
    for node in _NODES[60:80]:
        other.remove(node)
    assert one.neighbours == other.neighbours
