"""The table of nodes, merged from the store and from other nodes.

A few nodes in each domain read the table from the store and pass changes on.
Rows arrive in any order and more than once, so each carries its position: the
epoch of the store and the version of the write. A store that comes back from an
older copy starts a new epoch and gives out versions again.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.member import Member, decode_member

if TYPE_CHECKING:
    from boragetrestle_platform.table import Row

MAX_KEY_BYTES = 200  # what the store accepts


class MemberRow(NamedTuple):
    """One row with its position; ``content`` is None for a removed row."""

    address: str
    epoch: int
    version: int
    content: bytes | None

    @property
    def position(self) -> tuple[int, int]:
        """The order of writes to one row, over all copies of the store."""
        return (self.epoch, self.version)


class MemberTable:
    """The newest known row of each node.

    Another writer may have left rows that name no node; ``refused`` holds the
    error of each, and ``on_refused`` is called with its key and error.

    >>> table = MemberTable()
    >>> row = MemberRow('h:1', 0, 5, Member('h:1', 'a', 'walks').encode())
    >>> table.merge([row]) == [row], table.merge([row])
    (True, [])
    >>> table.members['h:1'].service
    'walks'
    """

    def __init__(self) -> None:
        self.rows: dict[str, MemberRow] = {}
        self.members: dict[str, Member] = {}
        self.refused: dict[str, str] = {}
        self.on_refused: Callable[[str, str], None] | None = None
        self.digest = 0

    def merge(self, rows: Iterable[MemberRow]) -> list[MemberRow]:
        """Take over rows that are newer than the known; return those."""
        newer = [row for row in rows if self._is_newer(row)]
        for row in newer:
            self._store(row)
        if newer:
            self.digest = _digest(self.rows.values())
        return newer

    def replace(
        self,
        rows: 'Mapping[str, Row]',
        *,
        epoch: int,
        position: int,
        keeps_missing: bool = False,
    ) -> list[MemberRow]:
        """Take over a whole read of the table; return the rows that changed.

        Rows that the read lacks count as removed, unless ``keeps_missing``:
        nodes whose rows a drill of the store took away write them again.
        """
        found = [
            MemberRow(key, epoch, row.version, row.content)
            for key, row in rows.items()
        ]
        if not keeps_missing:
            found += [
                MemberRow(key, epoch, position, None)
                for key, known in self.rows.items()
                if key not in rows and known.content is not None
            ]
        return self.merge(found)

    def row_of(self, address: str) -> MemberRow | None:
        """Return a node's row, or None if it has none or it was removed."""
        row = self.rows.get(address)
        return row if row is not None and row.content is not None else None

    def _is_newer(self, row: MemberRow) -> bool:
        if not 0 < len(row.address) <= MAX_KEY_BYTES:
            return False
        known = self.rows.get(row.address)
        return known is None or known.position < row.position

    def _store(self, row: MemberRow) -> None:
        self.rows[row.address] = row
        self.members.pop(row.address, None)
        self.refused.pop(row.address, None)
        if row.content is None:
            return
        try:
            self.members[row.address] = decode_member(row.address, row.content)
        except WireError as error:
            self._refuse(row.address, str(error))

    def _refuse(self, key: str, error: str) -> None:
        self.refused[key] = error
        if self.on_refused is not None:
            self.on_refused(key, error)


def _digest(rows: Iterable[MemberRow]) -> int:
    """Return a number that is the same for the same rows in any order."""
    digest = 0
    for row in rows:
        mark = f'{row.address} {row.epoch} {row.version} {row.content is None}'
        digest ^= xxhash.xxh64_intdigest(mark.encode())
    return digest
