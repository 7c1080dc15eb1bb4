"""The guard of one target: who may run there, and who waits."""

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
_RECORD_GAP_SECONDS = 1.0
_RETRY_JITTER = (0.5, 1.5)


class SlotGuard:
    """Own the slots of the target beside this node.

    Calls run while there is room below the limit and wait in one bounded queue
    otherwise. No call starts that is not expected to end in time. ``on_queued``
    is told of each call that has to wait.
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
        self.lowered_at = -_RECORD_GAP_SECONDS
        self.on_queued = on_queued
        self.slow_start = SlowStart(limit.ceiling, now=trio.current_time())
        self.lender = Lender(self)
        self.load = GuardLoad()
        self.running = 0

    @property
    def limit(self) -> int:
        """The calls that may run at once."""
        bound = self.slow_start.bound_at(trio.current_time())
        return max(1, int(min(self.policy.limit, bound)))

    @property
    def in_use(self) -> int:
        """The slots that are lent or in which guarded calls run."""
        return self.running + self.lender.book.count(trio.current_time())

    def signal(self) -> GuardSignal:
        """Return the load of the target."""
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
        """Hold a slot for a call; raise ``RefusedError`` if there is none."""
        self.load.offered[call.call_class].add()
        await self._acquire(call)
        use = SlotUse(Slot(self.target.target_address), call, self.times)
        try:
            yield use.slot
        finally:
            end = use.finish()
            self.running -= 1
            self.learn(LimitSample(end, use.seconds, self.in_use + 1))
            self.pump()

    def learn(self, sample: LimitSample) -> None:
        """Take ended calls into account."""
        self.load.ended.add(sample.calls)
        before = self.limit
        self.policy.learn(sample)
        if self.limit < before:
            self._record_lower_limit(sample.end)
        if sample.end is CallEnd.ANSWERED:
            self.slow_start.answered(sample.calls)

    def pump(self) -> None:
        """Start queued calls while there is room."""
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

    async def _acquire(self, call: Call) -> None:
        expected = self.times.expect(call)
        if call.remaining <= expected:
            self._shed(call, RefusalCode.DEADLINE)
        if not self.queue and self.in_use < self.limit:
            self.running += 1
            return
        waiter = self._enqueue(call, expected)
        try:
            with trio.move_on_at(waiter.give_up_at):
                await waiter.decided.wait()
        except BaseException:
            self._forget(waiter)
            raise
        if waiter.state is not WaiterState.GRANTED:
            self._forget(waiter)
            self._shed(call, RefusalCode.OVERLOADED)

    def _enqueue(self, call: Call, expected: float) -> Waiter:
        now = trio.current_time()
        patience = self.queue.patience(call.call_class)
        waiter = Waiter(
            call.organisation,
            call.call_class,
            queued_at=now,
            give_up_at=now + patience * (call.remaining - expected),
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

    def _forget(self, waiter: Waiter) -> None:
        if waiter.state is WaiterState.WAITING:
            self.queue.remove(waiter)
        elif waiter.state is WaiterState.GRANTED:
            self.running -= 1
            self.pump()

    def _record_lower_limit(self, end: CallEnd) -> None:
        now = trio.current_time()
        if now < self.lowered_at + _RECORD_GAP_SECONDS:
            return
        self.lowered_at = now
        self.timeline.record(
            EventKind.LIMIT_LOWERED,
            reason=f'{self.limit} calls after one that was {end.value}',
            service=self.target.service,
            subject=self.target.target,
        )

    def _shed(self, call: Call, code: RefusalCode) -> None:
        self.load.shed[call.call_class].add()
        wait = self.load.retry_after(len(self.queue))
        wait *= self.rng.uniform(*_RETRY_JITTER)
        raise RefusedError(
            Refusal(code, retry_after=min(wait, _MAX_RETRY_AFTER_SECONDS)),
        )

    def _max_queued(self) -> int:
        return min(_MAX_QUEUED, _QUEUE_PER_SLOT * self.policy.ceiling)
