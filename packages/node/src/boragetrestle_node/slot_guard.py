"""Enforce the concurrency limit of one target and queue excess calls."""

import random
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager

import trio

from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.call import Call
from boragetrestle_node.guard_load import GuardLoad
from boragetrestle_node.guard_signal import GuardSignal
from boragetrestle_node.lender import Lender
from boragetrestle_node.limit_policy import CallEnd, LimitPolicy, LimitSample
from boragetrestle_node.queue_order import QueueOrder
from boragetrestle_node.service_times import ServiceTimes
from boragetrestle_node.slot_source import Slot
from boragetrestle_node.slot_use import SlotUse
from boragetrestle_node.slow_start import SlowStart
from boragetrestle_node.waiter import Waiter, WaiterState

_QUEUE_PER_SLOT = 4
_MAX_QUEUED = 512
_MAX_RETRY_AFTER_SECONDS = 30.0
_LIMIT_EVENT_GAP_SECONDS = 1.0
_RETRY_JITTER_FACTORS = (0.5, 1.5)


class SlotGuard:
    """Grant the slots of the target beside this node.

    A slot is the right to run one call at the target. Calls get slots up to
    the concurrency limit and otherwise wait in one bounded queue. A call whose
    expected duration exceeds the time to its deadline is refused. ``on_queued``
    is called with this guard for each call that has to wait.
    """

    def __init__(
        self,
        target: TargetRecord,
        *,
        limit: LimitPolicy,
        queue: QueueOrder,
        times: ServiceTimes,
        rng: random.Random,
        timeline: Timeline,
        on_queued: Callable[['SlotGuard'], None],
    ) -> None:
        self.target = target
        self.policy = limit
        self.queue = queue
        self.times = times
        self.rng = rng
        self.timeline = timeline
        self.limit_event_at = -_LIMIT_EVENT_GAP_SECONDS
        self.on_queued = on_queued
        self.slow_start = SlowStart(limit.ceiling, now=trio.current_time())
        self.lender = Lender(self)
        self.load = GuardLoad()
        self.running = 0

    @property
    def limit(self) -> int:
        """The number of calls that may run at once."""
        bound = self.slow_start.bound_at(trio.current_time())
        return max(1, int(min(self.policy.limit, bound)))

    @property
    def in_use(self) -> int:
        """The slots leased to other nodes plus those of calls run here."""
        return self.running + self.lender.book.leased_slots(trio.current_time())

    def signal(self) -> GuardSignal:
        """Return a snapshot of the load and the limit of the target."""
        queued = len(self.queue)
        return GuardSignal(
            queued=queued,
            expected_wait=self.load.expected_wait(queued),
            shed=self.load.shed_shares(),
            limit=self.limit,
            in_use=self.in_use,
            offered_total=tuple(count.total for count in self.load.offered),
            shed_total=tuple(count.total for count in self.load.shed),
            ended_total=self.load.ended.total,
        )

    @asynccontextmanager
    async def hold(self, call: Call) -> AsyncGenerator[Slot, None]:
        """Wait for a slot and hold it; raise ``RefusedError`` if none frees."""
        self.load.offered[call.call_class].add()
        await self._acquire_slot(call)
        use = SlotUse(Slot(self.target.target_address), call, self.times)
        try:
            yield use.slot
        finally:
            end = use.finish()
            self.running -= 1
            self.record_ended_calls(
                LimitSample(end, use.seconds, self.in_use + 1)
            )
            self.start_queued_calls()

    def record_ended_calls(self, sample: LimitSample) -> None:
        """Update the limit and the counts with calls that ended."""
        self.load.ended.add(sample.calls)
        before = self.limit
        self.policy.update(sample)
        if self.limit < before:
            self._record_lower_limit(sample.end)
        if sample.end is CallEnd.ANSWERED:
            self.slow_start.record_answers(sample.calls)

    def start_queued_calls(self) -> None:
        """Grant free slots to queued calls; shed those past their wait."""
        now = trio.current_time()
        while self.queue and self.in_use < self.limit:
            waiter = self.queue.pop(now)
            if waiter is None:
                return
            if waiter.give_up_at <= now:
                waiter.decide(WaiterState.SHED)
                continue
            self.running += 1
            waiter.decide(WaiterState.GRANTED)

    async def _acquire_slot(self, call: Call) -> None:
        expected = self.times.expected_seconds(call)
        if call.remaining <= expected:
            self._refuse(call, RefusalCode.DEADLINE)
        if not self.queue and self.in_use < self.limit:
            self.running += 1
            return
        waiter = self._enqueue(call, expected)
        try:
            with trio.move_on_at(waiter.give_up_at):
                await waiter.decided.wait()
        except BaseException:
            self._withdraw(waiter)
            raise
        if waiter.state is not WaiterState.GRANTED:
            self._withdraw(waiter)
            self._refuse(call, RefusalCode.OVERLOADED)

    def _enqueue(self, call: Call, expected: float) -> Waiter:
        now = trio.current_time()
        wait_share = self.queue.max_wait_share(call.call_class)
        waiter = Waiter(
            call.organisation,
            call.call_class,
            queued_at=now,
            give_up_at=now + wait_share * (call.remaining - expected),
            cost=expected,
        )
        self.queue.push(waiter)
        self.on_queued(self)
        while len(self.queue) > self._max_queued():
            excess = self.queue.shed()
            if excess is None:
                break
            excess.decide(WaiterState.SHED)
        return waiter

    def _withdraw(self, waiter: Waiter) -> None:
        if waiter.state is WaiterState.WAITING:
            self.queue.remove(waiter)
        elif waiter.state is WaiterState.GRANTED:
            self.running -= 1
            self.start_queued_calls()

    def _record_lower_limit(self, end: CallEnd) -> None:
        now = trio.current_time()
        if now < self.limit_event_at + _LIMIT_EVENT_GAP_SECONDS:
            return
        self.limit_event_at = now
        self.timeline.record(
            EventKind.LIMIT_LOWERED,
            reason=f'lowered to {self.limit} calls after a call ended as {end.value}',
            service=self.target.service,
            subject=self.target.target,
        )

    def _refuse(self, call: Call, code: RefusalCode) -> None:
        self.load.shed[call.call_class].add()
        wait = self.load.retry_after(len(self.queue))
        wait *= self.rng.uniform(*_RETRY_JITTER_FACTORS)
        raise RefusedError(
            Refusal(code, retry_after=min(wait, _MAX_RETRY_AFTER_SECONDS)),
        )

    def _max_queued(self) -> int:
        return min(_MAX_QUEUED, _QUEUE_PER_SLOT * self.policy.ceiling)
