"""The slots of one target that a calling node may use."""

import math

import trio

from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.lease_message import LeaseAsk, LeaseGrant, UseReport
from boragetrestle_node.limit_policy import CallEnd

_HEADROOM = 1.25
_HOLDER_SHARE = 0.9


class SlotLease:
    """Hold slots of a target until a time on the clock of trio.

    The lease lapses for its holder after a share of the time that the guard
    counts, from the sending of the ask, so that clocks that run at slightly
    different speeds do not matter. A holder that was paused finds it lapsed.
    """

    def __init__(self, target: TargetRecord) -> None:
        self.target = target
        self.slots = 0
        self.busy = 0
        self.lapses_at = -math.inf
        self.not_before = -math.inf
        self.running = 0
        self.peak = 0
        self.former_peak = 0
        self.counts = dict.fromkeys(CallEnd, 0)
        self.seconds = 0.0
        self.is_kept = False
        self.changed = trio.Event()

    def take(self) -> bool:
        """Take a slot if one is free and the lease has not lapsed."""
        if self.busy >= self.slots or trio.current_time() >= self.lapses_at:
            return False
        self.busy += 1
        return True

    def give_back(self, end: CallEnd, seconds: float) -> None:
        """Free a slot and note how its call ended."""
        self.busy -= 1
        self.counts[end] += 1
        if end is CallEnd.ANSWERED:
            self.seconds += seconds
        if self.busy >= self.slots:
            self.changed.set()

    def enter(self) -> None:
        """Count a call to the target, under the lease or not."""
        self.running += 1
        self.peak = max(self.peak, self.running)

    def leave(self) -> None:
        """Count the end of a call to the target."""
        self.running -= 1

    def shrink(self, slots: int) -> None:
        """Use no more than some slots from now on."""
        self.slots = min(self.slots, slots)

    def make_ask(self, address: str) -> LeaseAsk:
        """Return what to ask for; slots not wanted are let go before."""
        wanted = self._wanted()
        if trio.current_time() >= self.lapses_at:
            self.shrink(0)
        self.shrink(wanted)
        return LeaseAsk(
            target=self.target.target,
            address=address,
            held=max(self.slots, self.busy),
            busy=self.busy,
            wanted=wanted,
            report=self._take_report(),
        )

    def accept(self, grant: LeaseGrant, *, sent_at: float) -> None:
        """Use a grant from the time at which its ask was sent."""
        self.slots = grant.slots
        self.lapses_at = sent_at + grant.seconds * _HOLDER_SHARE
        self.not_before = trio.current_time() + grant.pause

    def roll(self) -> None:
        """Start another period of measuring the demand."""
        self.former_peak = self.peak
        self.peak = self.running

    def _wanted(self) -> int:
        peak = max(self.peak, self.former_peak)
        return math.ceil(peak * _HEADROOM) if peak else 0

    def _take_report(self) -> UseReport:
        report = UseReport(
            answered=self.counts[CallEnd.ANSWERED],
            seconds=self.seconds,
            shed=self.counts[CallEnd.SHED],
            timed_out=self.counts[CallEnd.TIMED_OUT],
        )
        self.counts = dict.fromkeys(CallEnd, 0)
        self.seconds = 0.0
        return report
