"""Read the head of the configuration on behalf of a failure domain."""

import random
from collections.abc import Callable

import trio

from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.ids import DomainName
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.config_spread import ConfigSpread
from boragetrestle_node.freshness import Freshness
from boragetrestle_platform.change_log import ChangeLog
from boragetrestle_platform.snapshots import (
    SNAPSHOT_INTERVAL_VERSIONS,
    Snapshots,
)

_READ_SECONDS = 1.0
_READ_TIMEOUT_SECONDS = 3.0
_STRAY_READ_SECONDS = 10.0
_JITTER = (0.8, 1.2)
_MAX_RUNNING = 3
_COMPACT_SECONDS = 10.0


class ConfigReader:
    """Read newer changes about once a second while this node is a reader.

    Reads overlap when the store is slow, so that a read of almost the timeout
    delays changes but not the next read. A node that is not a reader reads
    seldom, and only while its knowledge of the store is old.
    """

    def __init__(
        self,
        log: ChangeLog,
        snapshots: Snapshots,
        spread: ConfigSpread,
        freshness: Freshness,
        timeline: Timeline,
        *,
        domain: DomainName,
        rng: random.Random,
    ) -> None:
        self.log = log
        self.snapshots = snapshots
        self.spread = spread
        self.freshness = freshness
        self.timeline = timeline
        self.domain = domain
        self.rng = rng
        self.running = 0
        self.has_store = True
        self.compacted = 0
        self.watchers: list[Callable[[], None]] = []

    async def run(self, is_reader: Callable[[], bool]) -> None:
        """Read at the pace that the role asks for, until cancelled."""
        async with trio.open_nursery() as nursery:
            waited = 0.0
            while True:
                pause = _READ_SECONDS * self.rng.uniform(*_JITTER)
                await trio.sleep(pause)
                waited += pause
                if self._is_due(is_reader(), waited):
                    waited = 0
                    nursery.start_soon(self.read)
                if is_reader() and self._owes_snapshot():
                    nursery.start_soon(self._compact)

    async def read(self) -> None:
        """Read once; take what is new, or note that the store is lost."""
        started = trio.current_time()
        self.running += 1
        try:
            with trio.fail_after(_READ_TIMEOUT_SECONDS):
                await self._read(started)
        except (StoreError, trio.TooSlowError) as error:
            self._note_lost(started, str(error))
        finally:
            self.running -= 1

    async def _read(self, started: float) -> None:
        state = self.spread.state
        read = await self.log.poll(state.version)
        for change in read.changes:
            self.spread.take(change)
        if state.version < read.head.version:
            await self._catch_up()
        self._confirm(started, read.head.store_time, read.head.version)

    async def _catch_up(self) -> None:
        state = self.spread.state
        before = state.version
        for change in await self.log.read_after(before):
            self.spread.take(change)
        if state.version == before:
            snapshot = await self.snapshots.read_newest()
            if snapshot is not None:
                self.spread.restore(snapshot)

    def _owes_snapshot(self) -> bool:
        version = self.spread.state.version
        if version - self.compacted < SNAPSHOT_INTERVAL_VERSIONS:
            return False
        self.compacted = version
        return True

    async def _compact(self) -> None:
        await trio.sleep(self.rng.uniform(0, _COMPACT_SECONDS))
        try:
            await self.snapshots.write_if_due(self.spread.state.snapshot())
        except StoreError as error:
            self.timeline.record(EventKind.STORE_LOST, reason=str(error))

    def _confirm(self, started: float, store_time: float, head: int) -> None:
        version = self.spread.state.version
        if version < head:
            return
        self.freshness.note_clock(store_time, at=started)
        self.freshness.own_read_at = started
        self.freshness.confirm(store_time, version, in_force=version)
        if not self.has_store:
            self.has_store = True
            self.timeline.record(EventKind.STORE_BACK)
        for watcher in self.watchers:
            watcher()

    def _note_lost(self, started: float, reason: str) -> None:
        self.freshness.note_lost(self.domain, started)
        if self.has_store:
            self.has_store = False
            self.timeline.record(EventKind.STORE_LOST, reason=reason)

    def _is_due(self, is_reader: bool, waited: float) -> bool:
        if self.running >= _MAX_RUNNING:
            return False
        if is_reader:
            return True
        is_fresh = self.freshness.is_fresh(now=trio.current_time())
        return not is_fresh and waited > _STRAY_READ_SECONDS
