"""Elect the few nodes of a failure domain that read the store for all."""

from heapq import nsmallest

import xxhash

from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.member_record import Liveness, MemberRecord
from boragetrestle_node.members import Members

READERS = 3


class ReaderElection:
    """Choose readers by hash among the live nodes of a failure domain.

    Nodes with different views may choose differently; one reader more or less
    does no harm, so that no agreement is needed.
    """

    def __init__(self, own: MemberRecord, members: Members) -> None:
        self.own = own
        self.members = members
        self.chosen_at: int | None = None
        self.readers: frozenset[NodeId] = frozenset()

    @property
    def is_elected(self) -> bool:
        """Whether this node is a reader of its failure domain."""
        if self.chosen_at != self.members.digest:
            self.chosen_at = self.members.digest
            self.readers = self._choose()
        return self.own.node in self.readers

    def _choose(self) -> frozenset[NodeId]:
        candidates = [
            record.node
            for record in self.members.records.values()
            if self._is_candidate(record)
        ]
        return frozenset(nsmallest(READERS, candidates, key=_order))

    def _is_candidate(self, record: MemberRecord) -> bool:
        return (
            record.liveness is Liveness.ALIVE
            and record.domain == self.own.domain
            and record.region == self.own.region
        )


def _order(node: NodeId) -> int:
    return xxhash.xxh64_intdigest(node.encode(), seed=1)
