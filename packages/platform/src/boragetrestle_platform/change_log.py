"""The log of configuration changes in the table.

The row ``head`` names the newest version; the row ``change/VERSION`` holds each
change. Both are written by one transaction that expects the previous head. Old
change rows give way to a snapshot in the object store, see ``snapshots``.
"""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from boragetrestle_kernel.change import AnyChange, Change
from boragetrestle_kernel.errors import ConflictError, OutcomeUnknownError
from boragetrestle_kernel.ids import Version
from boragetrestle_platform.table import (
    Check,
    Put,
    Rows,
    Table,
    Transaction,
)

HEAD_KEY = 'head'
CHANGE_PREFIX = 'change/'
_PAGE_ROWS = 500
_POLLED_CHANGES = 4
_NAMED_CHANGES = 5


class Head(msgspec.Struct, frozen=True):
    """The newest version, with the store's time of the read in seconds."""

    version: Version
    row_version: int
    store_time: float


class Poll(NamedTuple):
    """The head with the changes that one read brought along."""

    head: Head
    changes: tuple[Change, ...]


class ChangeLog:
    """Append to and read from the log of changes."""

    def __init__(self, table: Table) -> None:
        self.table = table

    async def head(self) -> Head:
        """Return the newest version; 0 in an empty log."""
        return _head(await self.table.read([HEAD_KEY]))

    async def poll(self, version: Version) -> Poll:
        """Return the head and the next few changes, in a single read."""
        keys = [
            change_key(Version(version + step + 1))
            for step in range(_POLLED_CHANGES)
        ]
        found = await self.table.read([HEAD_KEY, *keys])
        return Poll(
            head=_head(found),
            changes=tuple(
                msgspec.json.decode(row.content, type=Change)
                for row in found.rows
                if row.key != HEAD_KEY
            ),
        )

    async def append(
        self,
        change: AnyChange,
        *,
        expected: Version,
        author: str = '',
        made_at: float = 0,
    ) -> Version:
        """Append a change after the expected version and return its own.

        Raises ``ConflictError`` if the head is another, ``StoreError`` if the
        platform is away and the change was not accepted.
        """
        head = await self.head()
        if head.version != expected:
            raise await self._conflict(expected, head.version)
        version = Version(expected + 1)
        row = msgspec.json.encode(Change(version, change, author, made_at))
        key = change_key(version)
        transaction = Transaction(
            checks=(Check(HEAD_KEY, head.row_version), Check(key, 0)),
            writes=(Put(HEAD_KEY, str(version).encode()), Put(key, row)),
        )
        try:
            committed = (await self.table.commit(transaction)).is_committed
        except OutcomeUnknownError:
            committed = await self._holds(key, row)
        if not committed:
            found = (await self.head()).version
            raise await self._conflict(expected, found)
        return version

    async def after(self, version: Version) -> Sequence[Change]:
        """Return the changes that follow a version, oldest first."""
        found = await self.table.scan(
            CHANGE_PREFIX,
            after=change_key(version),
            limit=_PAGE_ROWS,
        )
        return [
            msgspec.json.decode(row.content, type=Change) for row in found.rows
        ]

    async def _conflict(
        self,
        expected: Version,
        found: Version,
    ) -> ConflictError:
        changes = await self.after(expected)
        difference = ', '.join(map(_describe, changes[:_NAMED_CHANGES]))
        return ConflictError(
            f'version {expected} was expected, but {found} is in force'
            f' ({difference})',
            remedy="look at 'boragetrestle diff' and apply again",
        )

    async def _holds(self, key: str, row: bytes) -> bool:
        found = await self.table.read([key])
        return any(candidate.content == row for candidate in found.rows)


def _head(found: Rows) -> Head:
    for row in found.rows:
        if row.key == HEAD_KEY:
            version = Version(int(row.content))
            return Head(version, row.version, found.store_time)
    return Head(Version(0), 0, found.store_time)


def change_key(version: Version) -> str:
    """Return the row key of a change.

    >>> change_key(7)
    'change/000000000007'
    """
    return f'{CHANGE_PREFIX}{version:012d}'


def _describe(change: Change) -> str:
    kind = change.change.__struct_config__.tag
    author = change.author or 'an unknown operator'
    return f'version {change.version} by {author}: {kind}'
