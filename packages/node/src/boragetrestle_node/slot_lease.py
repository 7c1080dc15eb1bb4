"""A lease on slots of one target, as its holder tracks it."""

import math

import trio

from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.lease_message import LeaseGrant, LeaseRequest, UseReport
from boragetrestle_node.limit_policy import CallEnd

_DEMAND_HEADROOM_FACTOR = 1.25
_HOLDER_LEASE_SHARE = 0.9


class SlotLease:
    """Hold slots of a target until a time on the trio clock.

    The holder counts the lease time from when it sent the request and uses only
    a share of it, so that the lease expires at the holder before it does at the
    guard even if their clocks run at slightly different speeds. A holder that
    was paused finds its lease expired.
    """

    def __init__(self, target: TargetRecord) -> None:
        self.target = target
        self.slots = 0
        self.busy = 0
        self.expires_at = -math.inf
        self.next_request_at = -math.inf
        self.running = 0
        self.peak = 0
        self.previous_peak = 0
        self.counts = dict.fromkeys(CallEnd, 0)
        self.seconds = 0.0
        self.is_renewing = False
        self.renewal_due = trio.Event()

    def acquire_slot(self) -> bool:
        """Take a slot if one is free and the lease has not expired."""
        if self.busy >= self.slots or trio.current_time() >= self.expires_at:
            return False
        self.busy += 1
        return True

    def release_slot(self, end: CallEnd, seconds: float) -> None:
        """Free a slot and count how its call ended."""
        self.busy -= 1
        self.counts[end] += 1
        if end is CallEnd.ANSWERED:
            self.seconds += seconds
        if self.busy >= self.slots:
            self.renewal_due.set()

    def count_start(self) -> None:
        """Count the start of a call, in a leased slot or not."""
        self.running += 1
        self.peak = max(self.peak, self.running)

    def count_end(self) -> None:
        """Count the end of a call, in a leased slot or not."""
        self.running -= 1

    def shrink(self, slots: int) -> None:
        """Reduce the slots to at most the given number."""
        self.slots = min(self.slots, slots)

    def make_request(self, address: str) -> LeaseRequest:
        """Release unwanted slots and build the next lease request."""
        wanted = self._wanted_slots()
        if trio.current_time() >= self.expires_at:
            self.shrink(0)
        self.shrink(wanted)
        return LeaseRequest(
            target=self.target.target,
            address=address,
            held=max(self.slots, self.busy),
            busy=self.busy,
            wanted=wanted,
            report=self._drain_report(),
        )

    def apply_grant(self, grant: LeaseGrant, *, sent_at: float) -> None:
        """Apply a grant, counting its time from when it was requested."""
        self.slots = grant.slots
        self.expires_at = sent_at + grant.seconds * _HOLDER_LEASE_SHARE
        self.next_request_at = trio.current_time() + grant.pause

    def start_demand_period(self) -> None:
        """Start the next period for measuring peak demand."""
        self.previous_peak = self.peak
        self.peak = self.running

    def _wanted_slots(self) -> int:
        peak = max(self.peak, self.previous_peak)
        return math.ceil(peak * _DEMAND_HEADROOM_FACTOR) if peak else 0

    def _drain_report(self) -> UseReport:
        report = UseReport(
            answered=self.counts[CallEnd.ANSWERED],
            seconds=self.seconds,
            shed=self.counts[CallEnd.SHED],
            timed_out=self.counts[CallEnd.TIMED_OUT],
        )
        self.counts = dict.fromkeys(CallEnd, 0)
        self.seconds = 0.0
        return report
