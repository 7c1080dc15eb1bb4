"""Place the shares of organisations on nodes by consistent hashing."""

from bisect import bisect_left
from collections import defaultdict
from typing import NamedTuple

import xxhash

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.member_record import Liveness, MemberRecord
from boragetrestle_node.members import Members

_POINTS_PER_NODE = 4


class _Ring(NamedTuple):
    """Hash ring of the nodes of a failure domain, with several points each."""

    points: list[int]
    nodes: list[MemberRecord]

    def find(self, text: str) -> MemberRecord:
        index = bisect_left(self.points, _hash(text)) % len(self.points)
        return self.nodes[index]


class SharePlacement:
    """Place shares on live nodes, so that they spread over failure domains.

    Nodes with the same members compute the same placement. Others may differ
    for a moment, which costs a message: the table decides who holds a share.
    """

    def __init__(self, members: Members) -> None:
        self.members = members
        self.placed_at: int | None = None
        self.rings: list[_Ring] = []

    def address(
        self,
        organisation: str,
        share: int,
        *,
        rank: int = 0,
    ) -> Address | None:
        """Return the node to ask for a share; higher ranks are alternatives.

        The shares of an organisation start at successive failure domains, and
        each further rank goes on to the next domain.
        """
        rings = self._rings()
        if not rings:
            return None
        start = xxhash.xxh32_intdigest(organisation.encode())
        ring = rings[(start + share + rank) % len(rings)]
        return ring.find(f'{organisation}/{share}/{rank}').peer_address

    def _rings(self) -> list[_Ring]:
        if self.placed_at != self.members.digest:
            self.placed_at = self.members.digest
            self.rings = self._build_rings()
        return self.rings

    def _build_rings(self) -> list[_Ring]:
        found = defaultdict(list)
        for record in self.members.records.values():
            if record.liveness is Liveness.ALIVE:
                found[(record.region, record.domain)].append(record)
        return [_make_ring(found[domain]) for domain in sorted(found)]


def _make_ring(records: list[MemberRecord]) -> _Ring:
    placed = sorted(
        (_hash(f'{record.node} {point}'), index)
        for index, record in enumerate(records)
        for point in range(_POINTS_PER_NODE)
    )
    return _Ring(
        points=[point for point, _ in placed],
        nodes=[records[index] for _, index in placed],
    )


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
