"""Slots that a node leases before it has calls for them."""

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

_RENEWAL_INTERVAL_SECONDS = 1.0
_REQUEST_TIMEOUT_SECONDS = 0.5
_MIN_REQUEST_GAP_SECONDS = 0.02


@slot_source('leased')
class LeasedSlots:
    """Send calls directly to targets of which this node leases slots.

    A call without a leased slot goes through the guard of its target, and a
    lease for later calls is requested in the background.
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
        """Run the tasks that renew leases until cancelled."""
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
        """Release the slots of a target that no call uses."""
        await trio.lowlevel.checkpoint()
        lease = self.leases.get(recall.target_id)
        if lease is not None:
            lease.shrink(lease.busy)
            lease.renewal_due.set()

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
        if call.remaining <= self.parts.times.expected_seconds(call):
            raise RefusedError(Refusal(RefusalCode.DEADLINE))
        lease = self._lease_of(target)
        self.parts.in_flight[target.target] += 1
        lease.count_start()
        try:
            if lease.acquire_slot():
                async with self._leased_slot(lease, call) as slot:
                    yield slot
            else:
                self._request_soon(lease)
                yield Slot(Address.parse(target.node_calls), is_guarded=True)
        finally:
            lease.count_end()
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
            lease.release_slot(use.finish(), use.seconds)

    def _lease_of(self, target: TargetRecord) -> SlotLease:
        lease = self.leases.get(target.target)
        if lease is None or lease.target.node != target.node:
            lease = SlotLease(target)
            self.leases[target.target] = lease
        lease.target = target
        return lease

    def _request_soon(self, lease: SlotLease) -> None:
        if trio.current_time() < lease.next_request_at:
            return
        lease.renewal_due.set()
        if not lease.is_renewing and self.nursery is not None:
            lease.is_renewing = True
            self.nursery.start_soon(self._keep_renewing, lease)

    async def _keep_renewing(self, lease: SlotLease) -> None:
        """Renew a lease until it has no slots and none are wanted."""
        try:
            while await self._renew(lease):
                await self._wait_for_renewal(lease)
        finally:
            lease.is_renewing = False

    async def _wait_for_renewal(self, lease: SlotLease) -> None:
        await trio.sleep(_MIN_REQUEST_GAP_SECONDS)
        with trio.move_on_after(
            _RENEWAL_INTERVAL_SECONDS - _MIN_REQUEST_GAP_SECONDS
        ) as scope:
            await lease.renewal_due.wait()
        if scope.cancelled_caught:
            lease.start_demand_period()

    async def _renew(self, lease: SlotLease) -> bool:
        """Request a renewal; return whether slots were held or wanted."""
        lease.renewal_due = trio.Event()
        request = lease.make_request(self.parts.peers_address)
        sent_at = trio.current_time()
        grant = await self.parts.links.ask(
            Address.parse(lease.target.node_peers),
            request,
            timeout=_REQUEST_TIMEOUT_SECONDS,
        )
        if isinstance(grant, LeaseGrant):
            lease.apply_grant(grant, sent_at=sent_at)
            if max(lease.slots, lease.busy) < request.held:
                lease.renewal_due.set()
        return bool(request.held or request.wanted)
