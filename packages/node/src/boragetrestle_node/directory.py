"""The targets that a node knows, by service."""

from collections.abc import Iterable

from boragetrestle_kernel.ids import ServiceName, TargetId
from boragetrestle_kernel.target_record import TargetRecord, TargetState


class Directory:
    """Hold the newest record of each target."""

    def __init__(self) -> None:
        self.records: dict[TargetId, TargetRecord] = {}
        self.by_service: dict[ServiceName, list[TargetRecord]] = {}

    def apply(self, record: TargetRecord) -> bool:
        """Take a record unless a newer one is known."""
        known = self.records.get(record.target)
        if known is not None and known.incarnation >= record.incarnation:
            return False
        self.records[record.target] = record
        self._index(record.service)
        if known is not None and known.service != record.service:
            self._index(known.service)
        return True

    def ready(self, service: ServiceName) -> list[TargetRecord]:
        """Return the targets of a service that take new calls."""
        return self.by_service.get(service, [])

    def apply_all(self, records: Iterable[TargetRecord]) -> None:
        """Take many records."""
        for record in records:
            self.apply(record)

    def _index(self, service: ServiceName) -> None:
        self.by_service[service] = [
            record
            for record in self.records.values()
            if record.service == service and record.state is TargetState.READY
        ]
