"""The guard of one target: who may run there, and who waits."""

import random
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager

import trio

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.attempt import Attempt, Forwarded
from boragetrestle_node.call import Call
from boragetrestle_node.guard_signal import GuardSignal
from boragetrestle_node.lender import Lender
from boragetrestle_node.limit_policy import CallEnd, LimitPolicy, LimitSample
from boragetrestle_node.load_window import DecayingCount
from boragetrestle_node.queue_order import QueueOrder
from boragetrestle_node.slot_source import Slot
from boragetrestle_node.waiter import Waiter, WaiterState

_QUEUE_PER_SLOT = 4
_MAX_QUEUED = 512
_MAX_RETRY_AFTER_SECONDS = 30.0
_RETRY_JITTER = (0.5, 1.5)
_ENDS: dict[Attempt, CallEnd] = {
    Attempt.ANSWERED: CallEnd.ANSWERED,
    Attempt.REFUSED: CallEnd.SHED,
}


class SlotGuard:
    """Own the slots of the target beside this node.

    Calls run while there is room below the limit and wait in one bounded queue
    otherwise. ``on_queued`` is told of each call that has to wait.
    """

    def __init__(
        self,
        target: TargetRecord,
        *,
        limit: LimitPolicy,
        queue: QueueOrder,
        rng: random.Random,
        on_queued: Callable[['SlotGuard'], None],
    ) -> None:
        self.target = target
        self.policy = limit
        self.queue = queue
        self.rng = rng
        self.on_queued = on_queued
        self.lender = Lender(self)
        self.running = 0
        self.ended = DecayingCount()
        self.offered = [DecayingCount() for _ in CallClass]
        self.shed = [DecayingCount() for _ in CallClass]

    @property
    def limit(self) -> int:
        """The calls that may run at once."""
        return max(1, int(self.policy.limit))

    @property
    def in_use(self) -> int:
        """The slots that are lent or in which guarded calls run."""
        return self.running + self.lender.book.count(trio.current_time())

    def signal(self) -> GuardSignal:
        """Return the load of the target."""
        return GuardSignal(
            queued=len(self.queue),
            expected_wait=self.expected_wait(),
            shed=tuple(
                shed.read() / max(1, offered.read())
                for shed, offered in zip(self.shed, self.offered, strict=True)
            ),
            limit=self.limit,
            in_use=self.in_use,
            offered_total=tuple(count.total for count in self.offered),
            shed_total=tuple(count.total for count in self.shed),
        )

    def expected_wait(self) -> float:
        """Return the seconds until the present queue has drained."""
        if not self.queue:
            return 0
        return len(self.queue) / max(1, self.ended.per_second)

    @asynccontextmanager
    async def hold(self, call: Call) -> AsyncGenerator[Slot, None]:
        """Hold a slot for a call; raise ``RefusedError`` if there is none."""
        self.offered[call.call_class].add()
        await self._acquire(call)
        started_at = trio.current_time()
        slot = Slot(self.target.target_address)
        try:
            yield slot
        finally:
            self._learn(slot.forwarded, trio.current_time() - started_at)
            self._release()

    def pump(self) -> None:
        """Start queued calls while there is room."""
        while self.queue and self.in_use < self.limit:
            waiter = self.queue.pop(trio.current_time())
            if waiter is None:
                return
            self.running += 1
            waiter.decide(WaiterState.GRANTED)

    async def _acquire(self, call: Call) -> None:
        if not self.queue and self.in_use < self.limit:
            self.running += 1
            return
        await self._wait(self._enqueue(call), call)

    def _enqueue(self, call: Call) -> Waiter:
        waiter = Waiter(
            call.organisation,
            call.call_class,
            queued_at=trio.current_time(),
            give_up_at=call.deadline,
        )
        self.queue.push(waiter)
        self.on_queued(self)
        while len(self.queue) > self._max_queued():
            excess = self.queue.shed()
            if excess is None:
                break
            excess.decide(WaiterState.SHED)
        return waiter

    async def _wait(self, waiter: Waiter, call: Call) -> None:
        try:
            with trio.move_on_at(waiter.give_up_at):
                await waiter.decided.wait()
        except BaseException:
            self._forget(waiter)
            raise
        if waiter.state is WaiterState.GRANTED:
            return
        self._forget(waiter)
        self.shed[call.call_class].add()
        raise RefusedError(self._refusal())

    def _forget(self, waiter: Waiter) -> None:
        if waiter.state is WaiterState.WAITING:
            self.queue.remove(waiter)
        elif waiter.state is WaiterState.GRANTED:
            self._release()

    def _release(self) -> None:
        self.running -= 1
        self.ended.add()
        self.pump()

    def _learn(self, forwarded: Forwarded | None, seconds: float) -> None:
        self.policy.learn(
            LimitSample(
                end=call_end(forwarded),
                seconds=seconds,
                in_use=self.in_use,
            ),
        )

    def _max_queued(self) -> int:
        return min(_MAX_QUEUED, _QUEUE_PER_SLOT * self.limit)

    def _refusal(self) -> Refusal:
        wait = self.expected_wait() * self.rng.uniform(*_RETRY_JITTER)
        return Refusal(
            RefusalCode.OVERLOADED,
            retry_after=min(wait, _MAX_RETRY_AFTER_SECONDS),
        )


def call_end(forwarded: Forwarded | None) -> CallEnd:
    """Return how a call ended; one that was cancelled has timed out."""
    if forwarded is None:
        return CallEnd.TIMED_OUT
    if forwarded.is_shed:
        return CallEnd.SHED
    return _ENDS.get(forwarded.attempt, CallEnd.FAILED)
