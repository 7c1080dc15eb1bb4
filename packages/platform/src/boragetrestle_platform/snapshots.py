"""Snapshots of the configuration, which allow old change rows to be deleted.

The row ``snapshot`` holds the versions of the newest snapshot and of the one
before it; each is stored as the object ``snapshot/VERSION``. The older one is
kept for nodes that are still reading it.
"""

from typing import NamedTuple

import msgspec

from boragetrestle_kernel.fleet_state import Snapshot
from boragetrestle_kernel.ids import Version
from boragetrestle_platform.change_log import CHANGE_PREFIX, change_key
from boragetrestle_platform.object_store import ObjectStore
from boragetrestle_platform.table import (
    Check,
    Delete,
    Put,
    Table,
    Transaction,
)

SNAPSHOT_KEY = 'snapshot'
SNAPSHOT_INTERVAL_VERSIONS = 64
KEPT_CHANGES = 256

_MAX_DELETED_ROWS = 200


class SnapshotIndex(NamedTuple):
    """The versions of the stored snapshots, 0 for none."""

    newest: Version
    previous: Version
    row_version: int


class Snapshots:
    """Write and read snapshots, and delete changes that they cover."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        self.table = table
        self.objects = objects

    async def read_index(self) -> SnapshotIndex:
        """Read the versions of the stored snapshots."""
        found = await self.table.read([SNAPSHOT_KEY])
        if not found.rows:
            return SnapshotIndex(Version(0), Version(0), 0)
        row = found.rows[0]
        newest, previous = row.content.split()
        return SnapshotIndex(
            Version(int(newest)),
            Version(int(previous)),
            row.version,
        )

    async def read_newest(self) -> Snapshot | None:
        """Read the newest snapshot if there is one."""
        index = await self.read_index()
        content = await self.objects.get(_object_name(index.newest))
        if content is None:
            return None
        return msgspec.json.decode(content, type=Snapshot)

    async def write_if_due(self, snapshot: Snapshot) -> bool:
        """Write a snapshot if it is due, then delete old changes.

        Returns whether this call wrote it. Concurrent writers are harmless:
        only one changes the row, and objects of one version are equal.
        """
        index = await self.read_index()
        if snapshot.version < index.newest + SNAPSHOT_INTERVAL_VERSIONS:
            return False
        name = _object_name(snapshot.version)
        await self.objects.put(name, msgspec.json.encode(snapshot))
        row = f'{snapshot.version} {index.newest}'.encode()
        committed = await self.table.commit(
            Transaction(
                checks=(Check(SNAPSHOT_KEY, index.row_version),),
                writes=(Put(SNAPSHOT_KEY, row),),
            ),
        )
        if committed.is_committed:
            await self.objects.delete(_object_name(index.previous))
            await self._delete_changes_until(
                Version(snapshot.version - KEPT_CHANGES)
            )
        return committed.is_committed

    async def _delete_changes_until(self, version: Version) -> None:
        found = await self.table.scan(CHANGE_PREFIX, limit=_MAX_DELETED_ROWS)
        last = change_key(Version(max(0, version)))
        writes = tuple(Delete(row.key) for row in found.rows if row.key <= last)
        if writes:
            await self.table.commit(Transaction(writes=writes))


def _object_name(version: Version) -> str:
    return f'snapshot/{version:012d}'
