"""The newest record of every node that a node knows."""

from collections.abc import Callable, Iterable, Sequence

import msgspec
import trio
import xxhash

from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.member_record import (
    Liveness,
    MemberRecord,
    Verdict,
)

BUCKETS = 32

MemberWatcher = Callable[[MemberRecord, MemberRecord | None], None]


class Members:
    """Merge records of nodes, whatever order they arrive in.

    ``digests`` has one number for each bucket of nodes; equal numbers mean
    equal knowledge of the nodes that are present. Watchers are called with the
    new record and the one that it replaces.
    """

    def __init__(self) -> None:
        self.records: dict[NodeId, MemberRecord] = {}
        self.changed_at: dict[NodeId, float] = {}
        self.troubled_nodes: set[NodeId] = set()
        self.digests = [0 for _ in range(BUCKETS)]
        self.present_count = 0
        self.watchers: list[MemberWatcher] = []

    def merge(self, record: MemberRecord) -> bool:
        """Take a record unless its rank is known; return whether taken.

        An unknown node that is dead or has left is passed over, so that old
        records die out.
        """
        known = self.records.get(record.node)
        if known is None and not record.liveness.is_present:
            return False
        if known is not None and known.rank >= record.rank:
            return False
        self.remember(record)
        return True

    def remember(self, record: MemberRecord) -> None:
        """Put a record in place of the known one of its node."""
        known = self.records.get(record.node)
        self.records[record.node] = record
        self.changed_at[record.node] = trio.current_time()
        if record.liveness is Liveness.ALIVE:
            self.troubled_nodes.discard(record.node)
        else:
            self.troubled_nodes.add(record.node)
        self._count(known, -1)
        self._count(record, 1)
        for watcher in self.watchers:
            watcher(record, known)

    def judge(self, verdict: Verdict) -> bool:
        """Take a verdict on a known incarnation; return whether taken."""
        known = self.records.get(verdict.node)
        if known is None or known.incarnation != verdict.incarnation:
            return False
        judged = msgspec.structs.replace(known, liveness=verdict.liveness)
        return self.merge(judged)

    def forget(self, node: NodeId) -> None:
        """Drop a node that is not present."""
        self.records.pop(node, None)
        self.changed_at.pop(node, None)
        self.troubled_nodes.discard(node)

    def age(self, node: NodeId) -> float:
        """Return the seconds since the record of a node changed."""
        return trio.current_time() - self.changed_at[node]

    def present(self) -> list[MemberRecord]:
        """Return the nodes that are alive or suspected."""
        return [
            record
            for record in self.records.values()
            if record.liveness.is_present
        ]

    def troubled(self) -> list[MemberRecord]:
        """Return the nodes that are not alive."""
        return [self.records[node] for node in sorted(self.troubled_nodes)]

    @property
    def digest(self) -> int:
        """One number for the knowledge of all nodes that are present."""
        combined = 0
        for part in self.digests:
            combined ^= part
        return combined

    def in_buckets(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Return the records of some buckets."""
        wanted = frozenset(buckets)
        return [
            record
            for record in self.records.values()
            if bucket_of(record.node) in wanted
        ]

    def differing(self, digests: Sequence[int]) -> list[int]:
        """Return the buckets whose digests are not these."""
        return [
            bucket
            for bucket, (own, other) in enumerate(
                zip(self.digests, digests, strict=True),
            )
            if own != other
        ]

    def _count(self, record: MemberRecord | None, sign: int) -> None:
        if record is None or not record.liveness.is_present:
            return
        self.present_count += sign
        self.digests[bucket_of(record.node)] ^= _fingerprint(record)


def bucket_of(node: NodeId) -> int:
    """Return the bucket of a node."""
    return xxhash.xxh32_intdigest(node.encode()) % BUCKETS


def _fingerprint(record: MemberRecord) -> int:
    text = f'{record.node} {record.incarnation} {record.liveness}'
    return xxhash.xxh64_intdigest(text.encode()) >> 1
