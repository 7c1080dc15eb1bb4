"""Interface of the platform's transactional table service."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

ABSENT = 0


class Row(msgspec.Struct, frozen=True):
    """A row; ``version`` grows by one with each write, from 1."""

    key: str
    content: bytes
    version: int


class Check(msgspec.Struct, frozen=True):
    """Require that a row has a version; ``ABSENT`` that it is missing."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, tag='put'):
    """Write a row."""

    key: str
    content: bytes


class Delete(msgspec.Struct, frozen=True, tag='delete'):
    """Remove a row."""

    key: str


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together if every check holds."""

    checks: tuple[Check, ...] = ()
    writes: tuple[Put | Delete, ...] = ()


class Rows(msgspec.Struct, frozen=True):
    """The rows of a read, and the time of the store's clock in seconds."""

    rows: tuple[Row, ...]
    store_time: float


class Committed(msgspec.Struct, frozen=True):
    """Whether a transaction took effect.

    ``store_time`` is the time of the store's clock in seconds. ``failed`` holds
    the keys of the rows whose checks did not hold.
    """

    is_committed: bool
    store_time: float
    failed: tuple[str, ...] = ()


class Table(Protocol):
    """A table of rows with transactions.

    All methods raise ``StoreError`` when the service gives no usable answer;
    ``commit`` raises ``OutcomeUnknownError`` when the writes may have
    taken effect.
    """

    async def read(self, keys: Sequence[str]) -> Rows:
        """Return the rows that exist for these keys."""

    async def scan(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 1000,
    ) -> Rows:
        """Return rows whose key has a prefix, in key order, after a key."""

    async def commit(self, transaction: Transaction) -> Committed:
        """Apply a transaction."""
