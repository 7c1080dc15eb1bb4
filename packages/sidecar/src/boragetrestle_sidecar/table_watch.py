"""Watch a table of the store by long polling."""

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import HistoryGoneError, StoreError
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_platform.table import Row
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.store_client import StoreClient, TableChanges

# Calls to the store cost money, but a store that turns just the nodes away that
# follow it is noticed by its silence, and changes are due within seconds.
LONG_POLL_SECONDS = 3.0
JITTER = (0.5, 1.5)  # factors, so that nodes don't poll at the same time
INITIAL_BACKOFF_SECONDS = 0.2
# Rows must be back within 2 s after the store recovers.
MAX_BACKOFF_SECONDS = 0.9
# How often a node that leaves the table to others looks whether it still may.
IDLE_CHECK_SECONDS = 0.4
# Nodes whose rows are missing in a copy of the store that came back write them
# within this time; rows that are missing after it have been removed.
REJOIN_SECONDS = 2.5


class TableWatch:
    """Keep a copy of a table's rows and pass it to ``on_change`` after changes.

    The copy is kept while the store is unreachable. ``is_needed`` tells whether
    this node has to read the table itself. ``poll_delay`` is the mean pause in
    seconds between an answer and the next poll, so that one poll returns
    several changes. ``on_confirmed`` is called with 0, the age of what the store
    said, after each answer. ``epoch`` and ``position`` say which state of the store the
    copy shows.
    """

    def __init__(
        self,
        table: str,
        store: 'StoreClient',
        log: 'DecisionLog',
        *,
        on_change: 'Callable[[TableWatch], None]',
        is_needed: Callable[[], bool],
        chance: random.Random,
        poll_delay: float = 0.0,
        on_confirmed: Callable[[float], None] | None = None,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.table = table
        self.store = store
        self.log = log
        self.on_change = on_change
        self.is_needed = is_needed
        self.chance = chance
        self.poll_delay = poll_delay
        self.clock = clock
        self.rows: dict[str, Row] = {}
        self.epoch: int | None = None
        self.position: int | None = None
        self.rejoining_until = 0.0
        self.on_confirmed = on_confirmed
        self.is_reachable = True
        self.is_confirmed = True
        self.polled_at = clock()
        self.lost_at = 0.0

    @property
    def is_rejoining(self) -> bool:
        """Whether nodes may still be about to write missing rows again."""
        return self.rejoining_until > 0

    async def run(self) -> None:
        """Watch the table while needed; retry with backoff while it fails."""
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            if not self.is_needed():
                self.position = None
                await self._pause(IDLE_CHECK_SECONDS)
                continue
            try:
                await self._poll()
            except HistoryGoneError as error:
                self.position = None
                self.log.write_unlimited(
                    'store-history-gone',
                    table=self.table,
                    error=str(error),
                )
                await self._pause(INITIAL_BACKOFF_SECONDS)
            except StoreError as error:
                self.is_confirmed = False
                self._log_lost(error)
                await self._pause(backoff)
                backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
            else:
                backoff = INITIAL_BACKOFF_SECONDS
                self._confirm()
                await self._pause(self.poll_delay)

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self.chance.uniform(*JITTER))

    async def _poll(self) -> None:
        self.polled_at = self.clock()
        if self.is_rejoining and self.clock() > self.rejoining_until:
            self.rejoining_until = 0.0
            self.position = None
        if self.position is None:
            await self._read_all()
            return
        changes = await self.store.changes(
            self.table,
            self.position,
            wait=self._poll_seconds(),
        )
        self.is_confirmed = True
        if changes.epoch != self.epoch:
            # Positions of an earlier epoch mean something else in this one.
            self.position = None
            return
        self.position = changes.position
        if changes.written or changes.removed:
            self._apply_changes(changes)
            self._pass_on()

    def _poll_seconds(self) -> float:
        """Return how long the store may hold the next poll.

        After a failure it may be in another epoch, which its answer tells.
        """
        if not self.is_confirmed:
            return 0.0
        return REJOIN_SECONDS if self.is_rejoining else LONG_POLL_SECONDS

    async def _read_all(self) -> None:
        view = await self.store.view(self.table)
        if self.epoch is not None and view.epoch != self.epoch:
            self.rejoining_until = self.clock() + REJOIN_SECONDS
            self.log.write_unlimited(
                'store-epoch-changed',
                table=self.table,
                before=self.epoch,
                epoch=view.epoch,
                position=view.position,
                rows=len(view.rows),
                action='keep missing rows until nodes have written them again',
            )
        self.epoch = view.epoch
        self.position = view.position
        self.rows = {row.key: row for row in view.rows}
        self._pass_on()

    def _pass_on(self) -> None:
        """Tell of a change; read all again if it could not be taken over."""
        try:
            self.on_change(self)
        except Exception:
            self.position = None
            raise

    def _apply_changes(self, changes: 'TableChanges') -> None:
        for key in changes.removed:
            self.rows.pop(key, None)
        for row in changes.written:
            self.rows[row.key] = row

    def _log_lost(self, error: StoreError) -> None:
        if self.is_reachable:
            self.is_reachable = False
            self.lost_at = self.clock()
            self.log.write_unlimited(
                'store-lost',
                table=self.table,
                error=str(error),
                polled_for=self.lost_at - self.polled_at,
            )

    def _confirm(self) -> None:
        """Note that the store has just answered."""
        if self.on_confirmed is not None:
            self.on_confirmed(0.0)
        if not self.is_reachable:
            self.is_reachable = True
            self.log.write_unlimited(
                'store-regained',
                table=self.table,
                lost_for=self.clock() - self.lost_at,
            )
