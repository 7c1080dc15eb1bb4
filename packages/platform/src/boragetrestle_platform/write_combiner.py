"""Batch small transactions of one process into larger ones."""

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
MAX_BATCH_SIZE = 64

_MAX_CONCURRENT_COMMITS = 4
_READ_BACK_PAUSES_SECONDS = (0.0, 0.1, 0.4)


@dataclass(slots=True, eq=False)
class _PendingTransaction:
    transaction: Transaction
    done: trio.Event = field(default_factory=trio.Event)
    is_in_batch: bool = False
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
    """Commit transactions that arrive within a time window as one batch.

    A transaction whose checks fail is left out and the others are committed
    again. Two transactions that touch the same row never share a batch, since
    the checks of both would hold before either write. ``window`` is in seconds;
    0 commits each transaction by itself.

    If the answer to a commit is lost, the written rows are read back to find
    its outcome, so every written row must hold a nonce. The commit has failed
    if a later write replaced a checked row; while it may still take effect,
    its outcome is unknown.
    """

    def __init__(
        self,
        table: Table,
        *,
        window: float = WINDOW_SECONDS,
        max_batch_size: int = MAX_BATCH_SIZE,
    ) -> None:
        self.table = table
        self.window = window
        self.max_batch_size = max_batch_size if window else 1
        self.waiting: list[_PendingTransaction] = []
        self.arrived = trio.Event()
        self.commit_limiter = trio.CapacityLimiter(_MAX_CONCURRENT_COMMITS)

    async def submit(self, transaction: Transaction) -> Committed:
        """Add a transaction to a batch and wait for its outcome.

        Raises ``OutcomeUnknownError`` if the writes may still take effect, and
        another ``StoreError`` if they did not.
        """
        pending = _PendingTransaction(transaction)
        self.waiting.append(pending)
        self.arrived.set()
        try:
            await pending.done.wait()
        finally:
            if not pending.is_in_batch:
                self.waiting.remove(pending)
        if pending.error is not None:
            raise pending.error
        assert pending.committed is not None
        return pending.committed

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
                await self.commit_limiter.acquire_on_behalf_of(token)
                batch = self._take_batch()
                nursery.start_soon(self._commit_and_release, batch, token)

    def _take_batch(self) -> list[_PendingTransaction]:
        batch: list[_PendingTransaction] = []
        touched: set[str] = set()
        for pending in list(self.waiting):
            if len(batch) < self.max_batch_size and not touched & pending.keys:
                touched |= pending.keys
                batch.append(pending)
        for chosen in batch:
            chosen.is_in_batch = True
            self.waiting.remove(chosen)
        if not self.waiting:
            self.arrived = trio.Event()
        return batch

    async def _commit_and_release(
        self, batch: list[_PendingTransaction], token: object
    ) -> None:
        try:
            await self._commit(batch)
        finally:
            self.commit_limiter.release_on_behalf_of(token)

    async def _commit(self, batch: list[_PendingTransaction]) -> None:
        while batch:
            try:
                committed = await self.table.commit(_merge(batch))
            except OutcomeUnknownError:
                await self._read_back(batch)
                return
            except StoreError as error:
                _fail_all(batch, error)
                return
            undecided = _finish_batch(batch, committed)
            if len(undecided) == len(batch):
                _fail_all(
                    undecided, StoreError('the table named no failed check')
                )
                return
            batch = undecided

    async def _read_back(self, batch: Sequence[_PendingTransaction]) -> None:
        keys = [key for pending in batch for key in pending.keys]
        for pause in _READ_BACK_PAUSES_SECONDS:
            await trio.sleep(pause)
            try:
                found = await self.table.read(keys)
            except StoreError:
                continue
            rows = {row.key: row for row in found.rows}
            _finish_by_rows(batch, rows, found.store_time)
            return
        _fail_all(batch, _build_unknown_error())


def _merge(batch: Iterable[_PendingTransaction]) -> Transaction:
    transactions = [pending.transaction for pending in batch]
    return Transaction(
        checks=tuple(check for part in transactions for check in part.checks),
        writes=tuple(write for part in transactions for write in part.writes),
    )


def _finish_batch(
    batch: list[_PendingTransaction],
    committed: Committed,
) -> list[_PendingTransaction]:
    """Finish transactions with an outcome; return those to commit again."""
    failed = set(committed.failed)
    undecided = []
    for pending in batch:
        checked = {check.key for check in pending.transaction.checks}
        if committed.is_committed or checked & failed:
            pending.finish(committed)
        else:
            undecided.append(pending)
    return undecided


def _finish_by_rows(
    batch: Iterable[_PendingTransaction],
    rows: dict[str, Row],
    store_time: float,
) -> None:
    for pending in batch:
        transaction = pending.transaction
        is_applied = all(
            _is_written(write, rows) for write in transaction.writes
        )
        is_superseded = any(
            _is_superseded(check, rows) for check in transaction.checks
        )
        if is_applied or is_superseded:
            pending.finish(Committed(is_applied, store_time))
        else:
            pending.fail(_build_unknown_error())


def _is_written(write: object, rows: dict[str, Row]) -> bool:
    if not isinstance(write, Put):
        return False
    row = rows.get(write.key)
    return row is not None and row.content == write.content


def _is_superseded(check: Check, rows: dict[str, Row]) -> bool:
    """Return whether a check can never hold again, as versions grow."""
    row = rows.get(check.key)
    return row is not None and row.version > check.version


def _fail_all(batch: Iterable[_PendingTransaction], error: StoreError) -> None:
    for pending in batch:
        pending.fail(error)


def _build_unknown_error() -> OutcomeUnknownError:
    return OutcomeUnknownError(
        'the write may still take effect',
        remedy='read the rows back to learn the outcome',
    )
