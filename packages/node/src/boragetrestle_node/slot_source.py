"""Ways in which a node gets slots for its calls to targets."""

from collections import Counter
from collections.abc import AsyncGenerator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import NodeId, TargetId
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.attempt import Forwarded
from boragetrestle_node.call import Call
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.service_times import ServiceTimes

if TYPE_CHECKING:
    from boragetrestle_node.guards import Guards


@dataclass(slots=True)
class Slot:
    """The right to run one call at a target, with the address to send it to.

    With ``is_guarded`` the address is that of the node beside the target, which
    queues the call; otherwise that of the target. The holder of the slot sets
    ``forwarded`` to the result of the attempt.
    """

    address: Address
    is_guarded: bool = False
    forwarded: Forwarded | None = None


class SlotSource(Protocol):
    """Hold slots while calls run; raise ``RefusedError`` if there is none."""

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run background tasks until cancelled."""

    def hold(
        self,
        call: Call,
        target: TargetRecord,
    ) -> AbstractAsyncContextManager[Slot]:
        """Hold a slot at a target for a call."""


class SlotParts(NamedTuple):
    """The parts of a node that a slot source may use.

    ``in_flight`` counts the calls of this node by target. ``peers_address``
    receives messages of other nodes for this node.
    """

    node: NodeId
    in_flight: Counter[TargetId]
    guards: 'Guards'
    times: ServiceTimes
    links: PeerLinks
    peers_address: str


SlotBuilder = Callable[[SlotParts], SlotSource]
SLOT_SOURCES: dict[str, SlotBuilder] = {}


def slot_source(name: str) -> Callable[[SlotBuilder], SlotBuilder]:
    """Register a slot source under a name."""

    def register(build: SlotBuilder) -> SlotBuilder:
        SLOT_SOURCES[name] = build
        return build

    return register


@slot_source('unlimited')
class UnlimitedSlots:
    """Send each call directly to its target, without a limit."""

    def __init__(self, parts: SlotParts) -> None:
        self.in_flight = parts.in_flight

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
        _call: Call,
        target: TargetRecord,
    ) -> AsyncGenerator[Slot, None]:
        """Hold a slot at a target for a call."""
        self.in_flight[target.target] += 1
        try:
            yield Slot(target.target_address)
        finally:
            self.in_flight[target.target] -= 1
