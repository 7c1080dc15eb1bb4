"""The operations of the platform's store that a node needs."""

from typing import NamedTuple, Protocol

from boragetrestle_platform.table import Committed, Row, Transaction


class TableView(NamedTuple):
    """A snapshot of a table; changes after it begin at ``position``.

    ``epoch`` counts how often the store came back from an older copy. Versions
    and positions of one epoch say nothing in another.
    """

    rows: tuple[Row, ...]
    position: int
    epoch: int = 0


class TableChanges(NamedTuple):
    """Rows written and keys removed since a position, and the next position.

    If ``epoch`` is not that of the position, the changes mean nothing.
    """

    written: tuple[Row, ...]
    removed: tuple[str, ...]
    position: int
    epoch: int = 0


class StoreClient(Protocol):
    """Read and write tables of rows in the store.

    A table consists of parts, which the store writes independently of each
    other; the part with the empty name is the usual one.

    All methods raise ``StoreError`` when the store gives no usable answer;
    ``commit`` raises ``OutcomeUnknownError`` when the write may have happened,
    ``changes`` raises ``HistoryGoneError`` when the position is too old.
    """

    async def view(self, table: str, *, part: str = '') -> TableView:
        """Return a snapshot of one part of a table."""

    async def changes(
        self,
        table: str,
        position: int,
        *,
        wait: float,
    ) -> TableChanges:
        """Return the changes since a position.

        Waits up to ``wait`` seconds for one; the result may be empty.
        """

    async def commit(
        self,
        table: str,
        transaction: Transaction,
        *,
        part: str = '',
    ) -> Committed:
        """Apply a transaction to one part of a table if all checks hold."""
