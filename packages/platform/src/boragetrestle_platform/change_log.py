"""The log of configuration changes in the table.

The row ``head`` holds the newest version and a row ``change/VERSION`` each
change. One transaction writes both and fails unless the head is the expected
one. Once a snapshot in the object store covers old change rows, they are
deleted, see ``snapshots``.
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
_CHANGES_PER_POLL = 4
_MAX_CONFLICT_CHANGES = 5


class Head(msgspec.Struct, frozen=True):
    """The newest version, and the store's time of the read in seconds.

    ``row_version`` is the version of the row ``head`` itself.
    """

    version: Version
    row_version: int
    store_time: float


class PollResult(NamedTuple):
    """The head and the changes that one read returned."""

    head: Head
    changes: tuple[Change, ...]


class ChangeLog:
    """Append changes to the log and read them."""

    def __init__(self, table: Table) -> None:
        self.table = table

    async def head(self) -> Head:
        """Read the head; its version is 0 in an empty log."""
        return _parse_head(await self.table.read([HEAD_KEY]))

    async def poll(self, version: Version) -> PollResult:
        """Read the head and the next few changes after a version at once."""
        keys = [
            change_key(Version(version + step + 1))
            for step in range(_CHANGES_PER_POLL)
        ]
        found = await self.table.read([HEAD_KEY, *keys])
        return PollResult(
            head=_parse_head(found),
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

        Raises ``ConflictError`` if the head has another version, and
        ``StoreError`` if the platform gave no usable answer.
        """
        head = await self.head()
        if head.version != expected:
            raise await self._build_conflict(expected, head.version)
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
            committed = await self._is_stored(key, row)
        if not committed:
            found = (await self.head()).version
            raise await self._build_conflict(expected, found)
        return version

    async def read_after(self, version: Version) -> Sequence[Change]:
        """Read the changes that follow a version, oldest first."""
        found = await self.table.scan(
            CHANGE_PREFIX,
            after=change_key(version),
            limit=_PAGE_ROWS,
        )
        return [
            msgspec.json.decode(row.content, type=Change) for row in found.rows
        ]

    async def _build_conflict(
        self,
        expected: Version,
        found: Version,
    ) -> ConflictError:
        changes = await self.read_after(expected)
        difference = ', '.join(
            map(_describe_change, changes[:_MAX_CONFLICT_CHANGES])
        )
        return ConflictError(
            f'version {expected} was expected, but {found} is in force'
            f' ({difference})',
            remedy="look at 'boragetrestle diff' and apply again",
        )

    async def _is_stored(self, key: str, row: bytes) -> bool:
        found = await self.table.read([key])
        return any(candidate.content == row for candidate in found.rows)


def _parse_head(found: Rows) -> Head:
    for row in found.rows:
        if row.key == HEAD_KEY:
            version = Version(int(row.content))
            return Head(version, row.version, found.store_time)
    return Head(Version(0), 0, found.store_time)


def change_key(version: Version) -> str:
    """Return the table key of a change.

    >>> change_key(7)
    'change/000000000007'
    """
    return f'{CHANGE_PREFIX}{version:012d}'


def _describe_change(change: Change) -> str:
    kind = change.change.__struct_config__.tag
    author = change.author or 'an unknown operator'
    return f'version {change.version} by {author}: {kind}'
