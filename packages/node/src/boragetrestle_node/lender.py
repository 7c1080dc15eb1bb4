"""Lease the slots of one target to calling nodes."""

import math
from typing import TYPE_CHECKING

import trio

from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.target_record import TargetState
from boragetrestle_kernel.timeline import EventKind
from boragetrestle_node.lease_book import LeaseBook, LeaseEntry, max_min_share
from boragetrestle_node.lease_message import LeaseGrant, LeaseRequest
from boragetrestle_node.limit_policy import CallEnd, LimitSample

if TYPE_CHECKING:
    from boragetrestle_node.slot_guard import SlotGuard

LEASE_SECONDS = 2.0

_RESERVED_SHARE = 0.1
_SHORTAGE_PAUSE_SECONDS = 0.5


class Lender:
    """Grant leases within the limit of the target while its queue is empty.

    A share of the limit is never leased, so that nodes without a lease find a
    slot. The book counts at least the slots that the holder reports as held,
    since the holder may use them until the lease expires if the answer is lost.
    """

    def __init__(self, guard: 'SlotGuard') -> None:
        self.guard = guard
        self.book = LeaseBook(on_lapse=self._record_lapse)

    def handle_request(self, node: NodeId, request: LeaseRequest) -> LeaseGrant:
        """Grant, renew or reduce the lease of a node."""
        self._record_report(request)
        self._update_book(node, request, request.held)
        granted = self._slots_to_grant(request)
        self._update_book(node, request, max(granted, request.held))
        self.guard.start_queued_calls()
        is_short = granted < request.wanted
        return LeaseGrant(
            slots=granted,
            seconds=LEASE_SECONDS,
            pause=_SHORTAGE_PAUSE_SECONDS if is_short else 0,
        )

    def _slots_to_grant(self, request: LeaseRequest) -> int:
        if not self._is_lending():
            return min(request.held, request.busy)
        lendable = self.guard.limit
        lendable -= math.ceil(_RESERVED_SHARE * self.guard.limit)
        free = lendable - (self.guard.in_use - request.held)
        wanted_slots = (entry.wanted for entry in self.book.entries.values())
        share = max_min_share(wanted_slots, lendable)
        granted = min(request.wanted, share, max(free, 0))
        return max(int(granted), min(request.held, request.busy))

    def _is_lending(self) -> bool:
        is_ready = self.guard.target.state is TargetState.READY
        return is_ready and not self.guard.queue

    def _update_book(
        self, node: NodeId, request: LeaseRequest, slots: int
    ) -> None:
        entry = LeaseEntry(
            address=request.address,
            slots=slots,
            busy=request.busy,
            wanted=request.wanted,
            expires_at=trio.current_time() + LEASE_SECONDS,
            is_recalled=not self._is_lending(),
        )
        self.book.replace_entry(node, entry)

    def _record_lapse(self, node: NodeId, entry: LeaseEntry) -> None:
        self.guard.timeline.record(
            EventKind.LEASE_LAPSED,
            reason=f'lease of {entry.slots} slots expired without renewal',
            service=self.guard.target.service,
            subject=node,
        )

    def _record_report(self, request: LeaseRequest) -> None:
        report = request.report
        if report.answered:
            self._record_sample(
                CallEnd.ANSWERED,
                report.answered,
                report.seconds / report.answered,
            )
        if report.shed:
            self._record_sample(CallEnd.SHED, report.shed)
        if report.timed_out:
            self._record_sample(CallEnd.TIMED_OUT, report.timed_out)

    def _record_sample(
        self, end: CallEnd, count: int, seconds: float = 0
    ) -> None:
        self.guard.record_ended_calls(
            LimitSample(end, seconds, self.guard.in_use, count),
        )
