"""Where a call gets its slot at a target from."""

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
    """The address that a call with a slot is sent to.

    ``is_guarded`` tells that this is the node beside the target, which queues
    the call, and not the target itself. Whoever holds the slot sets
    ``forwarded`` to how the attempt ended.
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
        """Do what has to be done in the background until cancelled."""

    def hold(
        self,
        call: Call,
        target: TargetRecord,
    ) -> AbstractAsyncContextManager[Slot]:
        """Hold a slot at a target for a call."""


class SlotParts(NamedTuple):
    """The parts of a node that a slot source may use.

    ``in_flight`` counts the calls of this node by target. ``peers_address``
    takes messages for this node.
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
    """Send every call straight to its target and count it."""

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
