"""Deadlines, retries, rate limit and circuit breaker of store operations."""

import random
from collections.abc import Awaitable, Callable
from math import inf
from typing import TypeVar

import trio

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_platform.circuit_breaker import CircuitBreaker
from boragetrestle_platform.store_budget import OperationKind, StoreBudget

READ_ATTEMPTS = 3

_FIRST_BACKOFF_SECONDS = 0.05
_BACKOFF_FACTOR = 4.0
_JITTER_FACTORS = (0.5, 1.0)

_Answer = TypeVar('_Answer')
_Operation = Callable[[], Awaitable[_Answer]]


class StoreGuard:
    """Run operations on one service of the platform.

    ``timeout`` bounds a read with all its attempts, or one write, in seconds.
    """

    def __init__(
        self,
        *,
        breaker: CircuitBreaker,
        budget: StoreBudget,
        timeout: float,
        rng: random.Random,
    ) -> None:
        self.breaker = breaker
        self.budget = budget
        self.timeout = timeout
        self.rng = rng

    async def read(self, operate: _Operation[_Answer]) -> _Answer:
        """Run a read; retry it after failures while time is left."""
        deadline = trio.current_time() + self.timeout
        backoff = _FIRST_BACKOFF_SECONDS
        for _ in range(READ_ATTEMPTS - 1):
            try:
                return await self._attempt(
                    OperationKind.READ, operate, deadline
                )
            except StoreError:
                backoff *= self.rng.uniform(*_JITTER_FACTORS)
                if trio.current_time() + backoff >= deadline:
                    raise
            await trio.sleep(backoff)
            backoff *= _BACKOFF_FACTOR
        return await self._attempt(OperationKind.READ, operate, deadline)

    async def write(self, operate: _Operation[_Answer]) -> _Answer:
        """Run a write once, without retries.

        Raises ``OutcomeUnknownError`` if the write was sent but not answered,
        and another ``StoreError`` if it was not sent.
        """
        return await self._attempt(OperationKind.WRITE, operate)

    async def _attempt(
        self,
        kind: OperationKind,
        operate: _Operation[_Answer],
        deadline: float = inf,
    ) -> _Answer:
        await self.budget.wait_for_turn(kind)
        deadline = min(deadline, trio.current_time() + self.timeout)
        self.breaker.admit()
        try:
            with trio.fail_at(deadline):
                answer = await operate()
        except StoreError:
            self.breaker.record_failure()
            raise
        except trio.TooSlowError as error:
            self.breaker.record_failure()
            raise OutcomeUnknownError(
                f'no answer from the platform for {self.timeout} s',
                remedy='read back what was written',
            ) from error
        except BaseException:
            self.breaker.record_cancellation()
            raise
        self.breaker.record_success()
        return answer
