"""Where a call gets its slot at a target from."""

from collections import Counter
from collections.abc import AsyncGenerator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import NamedTuple, Protocol

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.call import Call


class Slot(NamedTuple):
    """The address that a call with a slot is sent to.

    ``is_guarded`` tells that this is the node beside the target, which queues
    the call, and not the target itself.
    """

    address: Address
    is_guarded: bool = False


class SlotSource(Protocol):
    """Hold slots while calls run; raise ``RefusedError`` if there is none."""

    def hold(
        self,
        call: Call,
        target: TargetRecord,
    ) -> AbstractAsyncContextManager[Slot]:
        """Hold a slot at a target for a call."""


class UnlimitedSlots:
    """Send every call straight to its target and count it."""

    def __init__(self, in_flight: Counter[TargetId]) -> None:
        self.in_flight = in_flight

    @asynccontextmanager
    async def hold(
        self,
        _call: Call,
        target: TargetRecord,
    ) -> AsyncGenerator[Slot, None]:
        """Hold a slot at a target for a call."""
        self.in_flight[target.target] += 1
        try:
            yield Slot(target.target_address)
        finally:
            self.in_flight[target.target] -= 1
