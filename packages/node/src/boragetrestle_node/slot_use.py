"""Measure the duration and the result of one call in a slot."""

import trio

from boragetrestle_node.attempt import Attempt
from boragetrestle_node.call import Call
from boragetrestle_node.limit_policy import CallEnd
from boragetrestle_node.service_times import ServiceTimes
from boragetrestle_node.slot_source import Slot

_SERVER_ERROR = 500
_ENDS: dict[Attempt, CallEnd] = {
    Attempt.ANSWERED: CallEnd.ANSWERED,
    Attempt.TAKEN_BACK: CallEnd.ANSWERED,
    Attempt.REFUSED: CallEnd.SHED,
}


class SlotUse:
    """Measure the duration of a call in a slot.

    Durations of answered calls and of calls that passed their deadline are
    added to the service times of their route.
    """

    def __init__(self, slot: Slot, call: Call, times: ServiceTimes) -> None:
        self.slot = slot
        self.call = call
        self.times = times
        self.started_at = trio.current_time()
        self.seconds = 0.0

    def finish(self) -> CallEnd:
        """Record the duration and return how the call ended."""
        self.seconds = trio.current_time() - self.started_at
        end = self._classify_end()
        if end in {CallEnd.ANSWERED, CallEnd.TIMED_OUT}:
            self.times.add(self.call, self.seconds)
        return end

    def _classify_end(self) -> CallEnd:
        forwarded = self.slot.forwarded
        if forwarded is None:
            is_late = self.call.remaining <= 0
            return CallEnd.TIMED_OUT if is_late else CallEnd.ABANDONED
        if forwarded.is_shed:
            return CallEnd.SHED
        if forwarded.status >= _SERVER_ERROR:
            return CallEnd.FAILED
        return _ENDS.get(forwarded.attempt, CallEnd.FAILED)
