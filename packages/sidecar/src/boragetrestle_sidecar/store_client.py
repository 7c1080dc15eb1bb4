"""The platform's store, as a node uses it."""

from typing import NamedTuple, Protocol

from boragetrestle_platform.table import Committed, Row, Transaction


class TableView(NamedTuple):
    """Rows of a table at one moment; ``position`` is where changes go on."""

    rows: tuple[Row, ...]
    position: int


class TableChanges(NamedTuple):
    """Rows that were written and keys that were removed since a position."""

    written: tuple[Row, ...]
    removed: tuple[str, ...]
    position: int


class StoreClient(Protocol):
    """Tables of rows in the store.

    All methods raise ``StoreError`` when the store gives no usable answer;
    ``commit`` raises ``OutcomeUnknownError`` when the write may have happened,
    ``changes`` raises ``HistoryGoneError`` when the position is too old.
    """

    async def view(self, table: str) -> TableView:
        """Return all rows of a table."""

    async def changes(
        self,
        table: str,
        position: int,
        *,
        wait: float,
    ) -> TableChanges:
        """Return what changed, or nothing after ``wait`` seconds."""

    async def commit(self, table: str, transaction: Transaction) -> Committed:
        """Apply a transaction to a table."""
