"""Arrange the nodes in a tree, over which what all must know is passed.

Loads are added up towards the root and their total comes back; rows of nodes,
configurations and crashes are passed along the edges. A node has one parent and
a bounded number of children however large the fleet is, and only the first node
of a domain has a parent in another domain.

A node's parent always has a lower rank, and ranks are the same at all nodes, so
nodes that know different members still form no cycle. A node tries its
candidates one after the other until one is reached, so that those left of any
loss find each other.
"""

from collections.abc import Iterable

import xxhash

from boragetrestle_sidecar.member import Member

TREE_FANOUT = 8  # three levels below a domain's first node hold 584 nodes
# Nodes of each domain that follow the store's changes for all others. Two, so
# that one may be cut off without a delay for its domain.
FOLLOWERS_PER_DOMAIN = 2


def node_rank(address: str) -> tuple[int, str]:
    """Return the rank of a node, the same at all nodes."""
    return (xxhash.xxh64_intdigest(address.encode()), address)


class DomainTree:
    """The candidates for a node's parent, and the nodes that read the store.

    >>> members = [Member(f'h:{port}', 'a', 'walks') for port in range(12)]
    >>> tree = DomainTree('h:3', members)
    >>> all(node_rank(each) < node_rank('h:3') for each in tree.parents)
    True
    """

    def __init__(self, address: str, members: Iterable[Member]) -> None:
        ranked = sorted(members, key=_member_rank)
        domain = ''
        by_domain: dict[str, list[str]] = {}
        for member in ranked:
            by_domain.setdefault(member.domain, []).append(member.address)
            if member.address == address:
                domain = member.domain
        own = by_domain.pop(domain, [])
        place = own.index(address) if address in own else 0
        self.is_follower = place < FOLLOWERS_PER_DOMAIN
        self.parents = [
            *_parents_in_domain(own, place),
            *_parents_elsewhere(address, by_domain.values()),
        ]


def _parents_in_domain(own: list[str], place: int) -> list[str]:
    """Return ancestors, nearest first, then all others of lower rank."""
    ancestors: list[str] = []
    above = place
    while above > 0:
        above = (above - 1) // TREE_FANOUT
        ancestors.append(own[above])
    spare = [each for each in own[:place] if each not in ancestors]
    return ancestors + spare


def _parents_elsewhere(
    address: str,
    domains: Iterable[list[str]],
) -> list[str]:
    """Return the nodes of other domains that have a lower rank, lowest first."""
    own_rank = node_rank(address)
    ranked = [(node_rank(each), each) for domain in domains for each in domain]
    return [each for rank, each in sorted(ranked) if rank < own_rank]


def _member_rank(member: Member) -> tuple[int, str]:
    return node_rank(member.address)
