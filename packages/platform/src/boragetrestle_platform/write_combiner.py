"""Combine small transactions of one process into larger ones."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import trio

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_platform.table import (
    Check,
    Committed,
    Put,
    Row,
    Table,
    Transaction,
)

WINDOW_SECONDS = 0.003
MAX_MEMBERS = 64

_MAX_FLIGHTS = 4
_READ_BACK_SECONDS = (0.0, 0.1, 0.4)


@dataclass(slots=True, eq=False)
class _Member:
    transaction: Transaction
    done: trio.Event = field(default_factory=trio.Event)
    is_taken: bool = False
    committed: Committed | None = None
    error: StoreError | None = None

    @property
    def keys(self) -> set[str]:
        """The rows that the transaction checks or writes."""
        checked = {check.key for check in self.transaction.checks}
        return checked | {write.key for write in self.transaction.writes}

    def finish(self, committed: Committed) -> None:
        self.committed = committed
        self.done.set()

    def fail(self, error: StoreError) -> None:
        self.error = error
        self.done.set()


class WriteCombiner:
    """Commit transactions that arrive within a window as one.

    A member whose checks fail is left out and the others are committed again.
    Two members that touch the same row never share a transaction, since each
    of their checks would hold before either write. ``window`` is in seconds; 0
    commits each transaction by itself.

    A commit whose answer is lost is settled by reading the written rows back,
    so every written row must hold a nonce. It has failed if another write
    overtook it; as long as it may still take effect its outcome is unknown.
    """

    def __init__(
        self,
        table: Table,
        *,
        window: float = WINDOW_SECONDS,
        max_members: int = MAX_MEMBERS,
    ) -> None:
        self.table = table
        self.window = window
        self.max_members = max_members if window else 1
        self.waiting: list[_Member] = []
        self.arrived = trio.Event()
        self.flights = trio.CapacityLimiter(_MAX_FLIGHTS)

    async def submit(self, transaction: Transaction) -> Committed:
        """Return the outcome of one transaction.

        Raises ``OutcomeUnknownError`` if the writes may still take effect and
        another ``StoreError`` if they did not.
        """
        member = _Member(transaction)
        self.waiting.append(member)
        self.arrived.set()
        try:
            await member.done.wait()
        finally:
            if not member.is_taken:
                self.waiting.remove(member)
        if member.error is not None:
            raise member.error
        assert member.committed is not None
        return member.committed

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Commit batches until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                await self.arrived.wait()
                await trio.sleep(self.window)
                token = object()
                await self.flights.acquire_on_behalf_of(token)
                batch = self._take_batch()
                nursery.start_soon(self._fly, batch, token)

    def _take_batch(self) -> list[_Member]:
        batch: list[_Member] = []
        touched: set[str] = set()
        for member in list(self.waiting):
            if len(batch) < self.max_members and not touched & member.keys:
                touched |= member.keys
                batch.append(member)
        for taken in batch:
            taken.is_taken = True
            self.waiting.remove(taken)
        if not self.waiting:
            self.arrived = trio.Event()
        return batch

    async def _fly(self, batch: list[_Member], token: object) -> None:
        try:
            await self._commit(batch)
        finally:
            self.flights.release_on_behalf_of(token)

    async def _commit(self, batch: list[_Member]) -> None:
        while batch:
            try:
                committed = await self.table.commit(_merge(batch))
            except OutcomeUnknownError:
                await self._read_back(batch)
                return
            except StoreError as error:
                _fail_all(batch, error)
                return
            left = _finish_batch(batch, committed)
            if len(left) == len(batch):
                _fail_all(left, StoreError('the table named no failed check'))
                return
            batch = left

    async def _read_back(self, batch: Sequence[_Member]) -> None:
        keys = [key for member in batch for key in member.keys]
        for pause in _READ_BACK_SECONDS:
            await trio.sleep(pause)
            try:
                found = await self.table.read(keys)
            except StoreError:
                continue
            rows = {row.key: row for row in found.rows}
            _settle(batch, rows, found.store_time)
            return
        _fail_all(batch, _unknown())


def _merge(batch: Iterable[_Member]) -> Transaction:
    members = [member.transaction for member in batch]
    return Transaction(
        checks=tuple(check for part in members for check in part.checks),
        writes=tuple(write for part in members for write in part.writes),
    )


def _finish_batch(
    batch: list[_Member],
    committed: Committed,
) -> list[_Member]:
    """Finish the decided members and return those to commit again."""
    failed = set(committed.failed)
    left = []
    for member in batch:
        checked = {check.key for check in member.transaction.checks}
        if committed.is_committed or checked & failed:
            member.finish(committed)
        else:
            left.append(member)
    return left


def _settle(
    batch: Iterable[_Member],
    rows: dict[str, Row],
    store_time: float,
) -> None:
    for member in batch:
        parts = member.transaction
        is_applied = all(_holds(write, rows) for write in parts.writes)
        is_overtaken = any(_is_overtaken(check, rows) for check in parts.checks)
        if is_applied or is_overtaken:
            member.finish(Committed(is_applied, store_time))
        else:
            member.fail(_unknown())


def _holds(write: object, rows: dict[str, Row]) -> bool:
    if not isinstance(write, Put):
        return False
    row = rows.get(write.key)
    return row is not None and row.content == write.content


def _is_overtaken(check: Check, rows: dict[str, Row]) -> bool:
    """Tell whether a check can never hold again, since versions grow."""
    row = rows.get(check.key)
    return row is not None and row.version > check.version


def _fail_all(batch: Iterable[_Member], error: StoreError) -> None:
    for member in batch:
        member.fail(error)


def _unknown() -> OutcomeUnknownError:
    return OutcomeUnknownError(
        'the write may still take effect',
        remedy='read the rows back to learn the outcome',
    )
