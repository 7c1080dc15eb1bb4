"""Lend the slots of one target to calling nodes."""

import math
from typing import TYPE_CHECKING

import trio

from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.target_record import TargetState
from boragetrestle_kernel.timeline import EventKind
from boragetrestle_node.lease_book import LeaseBook, LeaseEntry, fair_level
from boragetrestle_node.lease_message import LeaseAsk, LeaseGrant
from boragetrestle_node.limit_policy import CallEnd, LimitSample

if TYPE_CHECKING:
    from boragetrestle_node.slot_guard import SlotGuard

LEASE_SECONDS = 2.0

_RESERVED_SHARE = 0.1
_PAUSE_SECONDS = 0.5


class Lender:
    """Grant leases while nothing waits, within the limit of the target.

    A part of the limit is never lent, so that a node without a lease finds a
    slot. The book keeps at least what the holder says it holds: an answer that
    gets lost leaves the holder with that until the lease lapses.
    """

    def __init__(self, guard: 'SlotGuard') -> None:
        self.guard = guard
        self.book = LeaseBook(on_lapse=self._record_lapse)

    def lend(self, node: NodeId, ask: LeaseAsk) -> LeaseGrant:
        """Answer the ask of a node."""
        self._learn(ask)
        self._enter(node, ask, ask.held)
        granted = self._grant(ask)
        self._enter(node, ask, max(granted, ask.held))
        self.guard.pump()
        is_short = granted < ask.wanted
        return LeaseGrant(
            slots=granted,
            seconds=LEASE_SECONDS,
            pause=_PAUSE_SECONDS if is_short else 0,
        )

    def _grant(self, ask: LeaseAsk) -> int:
        if not self._is_lending():
            return min(ask.held, ask.busy)
        lendable = self.guard.limit
        lendable -= math.ceil(_RESERVED_SHARE * self.guard.limit)
        free = lendable - (self.guard.in_use - ask.held)
        wants = (entry.wanted for entry in self.book.entries.values())
        level = fair_level(wants, lendable)
        fair = min(ask.wanted, level, max(free, 0))
        return max(int(fair), min(ask.held, ask.busy))

    def _is_lending(self) -> bool:
        is_ready = self.guard.target.state is TargetState.READY
        return is_ready and not self.guard.queue

    def _enter(self, node: NodeId, ask: LeaseAsk, slots: int) -> None:
        entry = LeaseEntry(
            address=ask.address,
            slots=slots,
            busy=ask.busy,
            wanted=ask.wanted,
            lapses_at=trio.current_time() + LEASE_SECONDS,
            is_recalled=not self._is_lending(),
        )
        self.book.enter(node, entry)

    def _record_lapse(self, node: NodeId, entry: LeaseEntry) -> None:
        self.guard.timeline.record(
            EventKind.LEASE_LAPSED,
            reason=f'{entry.slots} slots were not renewed',
            service=self.guard.target.service,
            subject=node,
        )

    def _learn(self, ask: LeaseAsk) -> None:
        report = ask.report
        if report.answered:
            self._sample(
                CallEnd.ANSWERED,
                report.answered,
                report.seconds / report.answered,
            )
        if report.shed:
            self._sample(CallEnd.SHED, report.shed)
        if report.timed_out:
            self._sample(CallEnd.TIMED_OUT, report.timed_out)

    def _sample(self, end: CallEnd, count: int, seconds: float = 0) -> None:
        self.guard.learn(
            LimitSample(end, seconds, self.guard.in_use, count),
        )
