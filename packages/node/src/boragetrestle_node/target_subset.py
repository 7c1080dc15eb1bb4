"""A stable subset of the targets of a service for one node."""

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from boragetrestle_kernel.ids import ServiceName, TargetId
from boragetrestle_kernel.target_record import TargetRecord

NEAR_TARGETS = 16
FAR_TARGETS = 8


class Subset(NamedTuple):
    """Targets in the failure domain of the node and in others."""

    near: tuple[TargetRecord, ...]
    far: tuple[TargetRecord, ...]


class _Cached(NamedTuple):
    targets: Sequence[TargetRecord]
    subset: Subset


class TargetSubsets:
    """Pick targets by rendezvous hashing, which bounds connections.

    A target that joins or leaves changes the subsets of few nodes, each by one
    target.
    """

    def __init__(self, node: str, domain: str) -> None:
        self.node = node
        self.domain = domain
        self.cached: dict[ServiceName, _Cached] = {}

    def of(
        self,
        service: ServiceName,
        targets: Sequence[TargetRecord],
    ) -> Subset:
        """Return the subset of the ready targets of a service.

        A subset is kept while the directory hands out the same list.
        """
        cached = self.cached.get(service)
        if cached is None or cached.targets is not targets:
            cached = _Cached(targets, self._pick(targets))
            self.cached[service] = cached
        return cached.subset

    def _pick(self, targets: Sequence[TargetRecord]) -> Subset:
        ranked = sorted(targets, key=lambda rec: self._rank(rec.target))
        near = [rec for rec in ranked if rec.domain == self.domain]
        far = [rec for rec in ranked if rec.domain != self.domain]
        return Subset(tuple(near[:NEAR_TARGETS]), tuple(far[:FAR_TARGETS]))

    def _rank(self, target: TargetId) -> int:
        return xxhash.xxh64_intdigest(f'{self.node}|{target}'.encode())
