"""Stop a node without cutting a call."""

from collections.abc import Awaitable, Callable

import trio
from eliot import log_message

from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.entry import Entry
from boragetrestle_node.membership import Membership

_SPREAD_SECONDS = 2.0
_QUIET_SECONDS = 1.0
_CLOSE_SECONDS = 2.0
_POLL_SECONDS = 0.05


class GracefulStop:
    """Tell the fleet, stop taking calls, finish those that run, and leave.

    While the fleet learns of it, new calls are still served, so that no caller
    is turned away needlessly. Onward calls of the own target are served until
    the end, since they belong to calls that run already. ``give_back`` hands
    over what the node holds for the fleet, once no call can need it.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        entry: Entry,
        give_back: Callable[[], Awaitable[None]],
        timeline: Timeline,
        timeout: float,
    ) -> None:
        self.membership = membership
        self.entry = entry
        self.give_back = give_back
        self.connections = entry.connections
        self.timeline = timeline
        self.timeout = timeout

    async def run(self) -> None:
        """Stop within the timeout; calls that outlast it are cut."""
        started = trio.current_time()
        with trio.move_on_after(self.timeout) as scope:
            await self.membership.drain()
            self.connections.finish()
            await trio.sleep(_SPREAD_SECONDS)
            self.entry.is_draining = True
            await self._until_quiet()
        await self.connections.close(timeout=_CLOSE_SECONDS)
        if scope.cancelled_caught:
            self.timeline.record(
                EventKind.FAULT,
                reason=f'{self.entry.running} calls outlast the drain timeout',
            )
        await self.give_back()
        await self.membership.leave()
        log_message(
            message_type='node:stopped',
            seconds=trio.current_time() - started,
            cut_calls=self.entry.running,
        )

    async def _until_quiet(self) -> None:
        """Wait until no call has run for a while."""
        quiet_since = trio.current_time()
        while trio.current_time() - quiet_since < _QUIET_SECONDS:
            if self.entry.running:
                quiet_since = trio.current_time()
            await trio.sleep(_POLL_SECONDS)
