"""Bring the configuration of the platform into force on a node."""

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_platform.change_log import ChangeLog


class ConfigReader:
    """Read changes that are newer than the version in force."""

    def __init__(
        self,
        log: ChangeLog,
        state: FleetState,
        timeline: Timeline,
    ) -> None:
        self.log = log
        self.state = state
        self.timeline = timeline

    async def read(self) -> None:
        """Apply all newer changes; raise ``StoreError`` without a store."""
        head = await self.log.head()
        while self.state.version < head.version:
            for change in await self.log.after(self.state.version):
                self.state.apply(change)
                self.timeline.record(
                    EventKind.CHANGE_IN_FORCE,
                    subject=str(change.version),
                )
