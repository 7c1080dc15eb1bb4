"""Slots that the guard of the target grants for each call."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.call import Call
from boragetrestle_node.slot_source import Slot, SlotParts, slot_source


@slot_source('guarded')
class GuardedSlots:
    """Send every call through the guard of its target.

    The guard of a target beside this node is called directly.
    """

    def __init__(self, parts: SlotParts) -> None:
        self.node = parts.node
        self.in_flight = parts.in_flight
        self.guards = parts.guards

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Do nothing in the background."""
        await trio.lowlevel.checkpoint()
        task_status.started()

    @asynccontextmanager
    async def hold(
        self,
        call: Call,
        target: TargetRecord,
    ) -> AsyncGenerator[Slot, None]:
        """Hold a slot at a target for a call."""
        self.in_flight[target.target] += 1
        try:
            if target.node == self.node:
                async with self.guards.of_target(target).hold(call) as slot:
                    yield slot
            else:
                yield Slot(Address.parse(target.node_calls), is_guarded=True)
        finally:
            self.in_flight[target.target] -= 1
