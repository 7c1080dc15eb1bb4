"""Snapshots of the configuration, which let old changes go.

The row ``snapshot`` names the version of the newest snapshot and the one before
it; the object ``snapshot/VERSION`` holds each. The older of both is kept for
nodes that are just reading it.
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
SNAPSHOT_EVERY = 64
KEPT_CHANGES = 256

_TRIM_ROWS = 200


class SnapshotIndex(NamedTuple):
    """The versions of the snapshots that exist, 0 for none."""

    newest: Version
    previous: Version
    row_version: int


class Snapshots:
    """Write and read snapshots, and trim the changes that they cover."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        self.table = table
        self.objects = objects

    async def index(self) -> SnapshotIndex:
        """Return which snapshots exist."""
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

    async def newest(self) -> Snapshot | None:
        """Return the newest snapshot if there is one."""
        index = await self.index()
        content = await self.objects.get(_object_name(index.newest))
        if content is None:
            return None
        return msgspec.json.decode(content, type=Snapshot)

    async def write(self, snapshot: Snapshot) -> bool:
        """Write a snapshot if it is due and trim old changes.

        Returns whether this call wrote it. Concurrent writers are harmless:
        one row change wins, and objects of one version are equal.
        """
        index = await self.index()
        if snapshot.version < index.newest + SNAPSHOT_EVERY:
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
            await self._trim(Version(snapshot.version - KEPT_CHANGES))
        return committed.is_committed

    async def _trim(self, version: Version) -> None:
        found = await self.table.scan(CHANGE_PREFIX, limit=_TRIM_ROWS)
        last = change_key(Version(max(0, version)))
        writes = tuple(Delete(row.key) for row in found.rows if row.key <= last)
        if writes:
            await self.table.commit(Transaction(writes=writes))


def _object_name(version: Version) -> str:
    return f'snapshot/{version:012d}'
