"""Slots that are leased ahead of the calls that use them."""

from collections.abc import AsyncGenerator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import NodeId, TargetId
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.call import Call
from boragetrestle_node.lease_message import LeaseGrant, LeaseRecall
from boragetrestle_node.slot_lease import SlotLease
from boragetrestle_node.slot_source import Slot, SlotParts, slot_source
from boragetrestle_node.slot_use import SlotUse

_RENEW_SECONDS = 1.0
_ASK_TIMEOUT_SECONDS = 0.5
_ASK_GAP_SECONDS = 0.02


@slot_source('leased')
class LeasedSlots:
    """Send calls straight to targets whose slots this node leased.

    A call without a lease goes through the guard of its target, and a lease for
    the calls after it is asked for in the background.
    """

    def __init__(self, parts: SlotParts) -> None:
        self.parts = parts
        self.leases: dict[TargetId, SlotLease] = {}
        self.nursery: trio.Nursery | None = None
        parts.links.on(LeaseRecall, self.handle_recall)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Renew leases until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def hold(
        self,
        call: Call,
        target: TargetRecord,
    ) -> AbstractAsyncContextManager[Slot]:
        """Hold a slot at a target for a call."""
        if target.node == self.parts.node:
            return self._hold_own(call, target)
        return self._hold_remote(call, target)

    async def handle_recall(self, _node: NodeId, recall: LeaseRecall) -> None:
        """Give back the slots of a target that no call uses."""
        await trio.lowlevel.checkpoint()
        lease = self.leases.get(recall.target_id)
        if lease is not None:
            lease.shrink(lease.busy)
            lease.changed.set()

    @asynccontextmanager
    async def _hold_own(
        self,
        call: Call,
        target: TargetRecord,
    ) -> AsyncGenerator[Slot, None]:
        self.parts.in_flight[target.target] += 1
        try:
            async with self.parts.guards.of_target(target).hold(call) as slot:
                yield slot
        finally:
            self.parts.in_flight[target.target] -= 1

    @asynccontextmanager
    async def _hold_remote(
        self,
        call: Call,
        target: TargetRecord,
    ) -> AsyncGenerator[Slot, None]:
        if call.remaining <= self.parts.times.expect(call):
            raise RefusedError(Refusal(RefusalCode.DEADLINE))
        lease = self._lease(target)
        self.parts.in_flight[target.target] += 1
        lease.enter()
        try:
            if lease.take():
                async with self._leased_slot(lease, call) as slot:
                    yield slot
            else:
                self._ask_soon(lease)
                yield Slot(Address.parse(target.node_calls), is_guarded=True)
        finally:
            lease.leave()
            self.parts.in_flight[target.target] -= 1

    @asynccontextmanager
    async def _leased_slot(
        self,
        lease: SlotLease,
        call: Call,
    ) -> AsyncGenerator[Slot, None]:
        slot = Slot(lease.target.target_address)
        use = SlotUse(slot, call, self.parts.times)
        try:
            yield slot
        finally:
            lease.give_back(use.finish(), use.seconds)

    def _lease(self, target: TargetRecord) -> SlotLease:
        lease = self.leases.get(target.target)
        if lease is None or lease.target.node != target.node:
            lease = SlotLease(target)
            self.leases[target.target] = lease
        lease.target = target
        return lease

    def _ask_soon(self, lease: SlotLease) -> None:
        if trio.current_time() < lease.not_before:
            return
        lease.changed.set()
        if not lease.is_kept and self.nursery is not None:
            lease.is_kept = True
            self.nursery.start_soon(self._keep, lease)

    async def _keep(self, lease: SlotLease) -> None:
        """Renew a lease until it is neither used nor wanted."""
        try:
            while await self._renew(lease):
                await self._wait(lease)
        finally:
            lease.is_kept = False

    async def _wait(self, lease: SlotLease) -> None:
        await trio.sleep(_ASK_GAP_SECONDS)
        with trio.move_on_after(_RENEW_SECONDS - _ASK_GAP_SECONDS) as scope:
            await lease.changed.wait()
        if scope.cancelled_caught:
            lease.roll()

    async def _renew(self, lease: SlotLease) -> bool:
        """Return whether the lease is still of use."""
        lease.changed = trio.Event()
        ask = lease.make_ask(self.parts.peers_address)
        sent_at = trio.current_time()
        grant = await self.parts.links.ask(
            Address.parse(lease.target.node_peers),
            ask,
            timeout=_ASK_TIMEOUT_SECONDS,
        )
        if isinstance(grant, LeaseGrant):
            lease.accept(grant, sent_at=sent_at)
            if max(lease.slots, lease.busy) < ask.held:
                lease.changed.set()
        return bool(ask.held or ask.wanted)
