"""The targets that a node knows, by service."""

from collections import defaultdict
from collections.abc import Iterable

from boragetrestle_kernel.ids import NodeId, ServiceName, TargetId
from boragetrestle_kernel.member_record import Liveness, MemberRecord
from boragetrestle_kernel.target_record import TargetRecord, TargetState


class Directory:
    """Hold the newest record of each target.

    Targets beside nodes that nobody reaches get no calls, unless a service has
    no others: an empty list would refuse every call, while a wrong suspicion
    costs one attempt.
    """

    def __init__(self) -> None:
        self.records: dict[TargetId, TargetRecord] = {}
        self.by_service: dict[ServiceName, list[TargetRecord]] = {}
        self.of_service: defaultdict[
            ServiceName,
            dict[TargetId, TargetRecord],
        ] = defaultdict(dict)
        self.unreachable: set[NodeId] = set()

    def apply(self, record: TargetRecord) -> bool:
        """Take a record unless a newer one is known."""
        known = self.records.get(record.target)
        if known is not None and known.incarnation >= record.incarnation:
            return False
        if known is not None and known.service != record.service:
            self.remove(known)
        self.records[record.target] = record
        self.of_service[record.service][record.target] = record
        self._index(record.service)
        return True

    def apply_all(self, records: Iterable[TargetRecord]) -> None:
        """Take many records."""
        for record in records:
            self.apply(record)

    def remove(self, record: TargetRecord) -> None:
        """Drop a target that has left."""
        self.records.pop(record.target, None)
        self.of_service[record.service].pop(record.target, None)
        self._index(record.service)

    def ready(self, service: ServiceName) -> list[TargetRecord]:
        """Return the targets of a service that take new calls."""
        return self.by_service.get(service, [])

    def follow(self, record: MemberRecord, known: MemberRecord | None) -> None:
        """Take the targets of a node whose record has changed."""
        if record.liveness in {Liveness.SUSPECTED, Liveness.DEAD}:
            self.unreachable.add(record.node)
        else:
            self.unreachable.discard(record.node)
        kept = {target.target for target in record.targets}
        for target in known.targets if known else ():
            if target.target not in kept:
                self.remove(target)
        self.apply_all(record.targets)
        for changed in record.targets:
            self._index(changed.service)

    def _index(self, service: ServiceName) -> None:
        ready = [
            record
            for record in self.of_service[service].values()
            if record.state is TargetState.READY
        ]
        reached = [
            record for record in ready if record.node not in self.unreachable
        ]
        self.by_service[service] = reached or ready
