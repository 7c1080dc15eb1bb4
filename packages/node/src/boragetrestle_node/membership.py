"""Join, drain and leave the fleet through the table service."""

import msgspec

from boragetrestle_kernel.ids import (
    DomainName,
    Incarnation,
    NodeId,
    ServiceName,
    TargetId,
)
from boragetrestle_kernel.settings import NodeSettings
from boragetrestle_kernel.target_record import TargetRecord, TargetState
from boragetrestle_node.announcement import Announcement
from boragetrestle_node.directory import Directory
from boragetrestle_platform.table import Delete, Put, Table, Transaction

TARGET_PREFIX = 'target/'


class Membership:
    """Keep the rows of this node's target and read those of others."""

    def __init__(
        self,
        settings: NodeSettings,
        table: Table,
        directory: Directory,
        *,
        first_incarnation: int,
    ) -> None:
        self.settings = settings
        self.table = table
        self.directory = directory
        self.incarnation = first_incarnation
        self.own: dict[TargetId, TargetRecord] = {}

    async def announce(self, announcement: Announcement) -> TargetRecord:
        """Write what the target beside this node says about itself."""
        record = self._record(announcement)
        self.own[record.target] = record
        self.directory.apply(record)
        await self._write(record)
        return record

    async def drain(self) -> None:
        """Tell the fleet that the target takes no new calls."""
        await self._change_state(TargetState.DRAINING)

    async def leave(self) -> None:
        """Remove the target from the fleet."""
        await self._change_state(TargetState.GONE)

    async def read(self) -> None:
        """Read the records of all targets."""
        found = await self.table.scan(TARGET_PREFIX)
        records = [
            msgspec.json.decode(row.content, type=TargetRecord)
            for row in found.rows
        ]
        self.directory.apply_all(records)

    async def _change_state(self, state: TargetState) -> None:
        for target, known in list(self.own.items()):
            self.incarnation += 1
            record = msgspec.structs.replace(
                known,
                state=state,
                incarnation=Incarnation(self.incarnation),
            )
            self.own[target] = record
            self.directory.apply(record)
            await self._write(record)

    async def _write(self, record: TargetRecord) -> None:
        key = TARGET_PREFIX + record.target
        write: Put | Delete = Put(key, msgspec.json.encode(record))
        await self.table.commit(Transaction(writes=(write,)))

    def _record(self, announcement: Announcement) -> TargetRecord:
        settings = self.settings
        self.incarnation += 1
        return TargetRecord(
            target=TargetId(f'{settings.node}:{announcement.service}'),
            service=ServiceName(announcement.service),
            node=NodeId(settings.node),
            domain=DomainName(settings.domain),
            region=settings.region,
            address=announcement.address,
            node_calls=settings.listen.calls,
            node_peers=settings.listen.peers,
            node_admin=settings.listen.admin,
            slots=announcement.slots,
            connections=announcement.connections,
            state=TargetState(announcement.state),
            incarnation=Incarnation(self.incarnation),
        )
