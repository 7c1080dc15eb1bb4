"""Builders of a node's memory of its target, saved in a store."""

import asyncio
import random

from path_builders import (
    NAMES,
    LineLog,
    configuration,
    route,
    settings,
)
from path_standins import MemoryStore
from virtual_loop import virtual_now

from boragetrestle_platform.table import Row
from boragetrestle_sidecar.guard import Guard
from boragetrestle_sidecar.target_archive import (
    RECORD_KEY,
    TARGETS_TABLE,
    TargetArchive,
)

ADDRESS = '10.0.0.1:7000'
LEFT_AT_SECONDS = 1_800_000_000.0
LEFT_AT = int(LEFT_AT_SECONDS * 1000)
STARTED_AT = LEFT_AT - 60_000


class ArchiveHarness:
    """The guard of one process on a host, with its archive running.

    It runs on the virtual clock; a second harness on the store is the process
    that follows after a kill.
    """

    def __init__(
        self,
        store: MemoryStore,
        *,
        is_first_start: bool = False,
        address: str = ADDRESS,
        is_configured: bool = True,
    ) -> None:
        self.log = LineLog()
        self.store = store
        self.guard = Guard(
            settings(),
            NAMES,
            self.log,
            clock=virtual_now,
            wall_clock=lambda: LEFT_AT_SECONDS,
        )
        self.is_configured = is_configured
        if is_configured:
            self.configure()
        self.archive = TargetArchive(
            address,
            self.guard,
            store,
            self.log,
            is_first_start=is_first_start,
            chance=random.Random(1),
        )
        self.task = asyncio.get_running_loop().create_task(self.archive.run())

    def configure(self) -> None:
        """Let the first configuration come."""
        self.guard.configure(
            configuration(route(), route(services={'seats': 1}))
        )

    async def settle(self) -> None:
        """Let the archive do what is due."""
        self.archive.check()
        await asyncio.sleep(0.01)

    async def restart(self) -> 'ArchiveHarness':
        """Kill the process and return the one that follows."""
        await self.settle()
        self.task.cancel()
        following = ArchiveHarness(self.store, is_configured=self.is_configured)
        await following.settle()
        return following


def saved_row(store: MemoryStore) -> Row | None:
    """Return the row of the target that the store holds."""
    return store.tables.get(f'{TARGETS_TABLE}/{ADDRESS}', {}).get(RECORD_KEY)
