"""Deadline, retries, budget and circuit breaker around operations."""

import random
from collections.abc import Awaitable, Callable
from math import inf
from typing import TypeVar

import trio

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_platform.circuit_breaker import CircuitBreaker
from boragetrestle_platform.store_budget import Operation, StoreBudget

READ_ATTEMPTS = 3

_FIRST_PAUSE_SECONDS = 0.05
_PAUSE_FACTOR = 4.0
_JITTER = (0.5, 1.0)

_Answer = TypeVar('_Answer')
_Operate = Callable[[], Awaitable[_Answer]]


class StoreGuard:
    """Run operations on one service of the platform.

    ``timeout`` bounds an operation with all its attempts, in seconds.
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

    async def read(self, operate: _Operate[_Answer]) -> _Answer:
        """Return an answer, after repeats if need be and time is left."""
        deadline = trio.current_time() + self.timeout
        pause = _FIRST_PAUSE_SECONDS
        for _ in range(READ_ATTEMPTS - 1):
            try:
                return await self._attempt(Operation.READ, operate, deadline)
            except StoreError:
                pause *= self.rng.uniform(*_JITTER)
                if trio.current_time() + pause >= deadline:
                    raise
            await trio.sleep(pause)
            pause *= _PAUSE_FACTOR
        return await self._attempt(Operation.READ, operate, deadline)

    async def write(self, operate: _Operate[_Answer]) -> _Answer:
        """Return the answer of one attempt.

        Raises ``OutcomeUnknownError`` if the attempt was made without an
        answer, and another ``StoreError`` if it was not made.
        """
        return await self._attempt(Operation.WRITE, operate)

    async def _attempt(
        self,
        kind: Operation,
        operate: _Operate[_Answer],
        deadline: float = inf,
    ) -> _Answer:
        await self.budget.spend(kind)
        deadline = min(deadline, trio.current_time() + self.timeout)
        self.breaker.check()
        try:
            with trio.fail_at(deadline):
                answer = await operate()
        except StoreError:
            self.breaker.fail()
            raise
        except trio.TooSlowError as error:
            self.breaker.fail()
            raise OutcomeUnknownError(
                f'no answer from the platform for {self.timeout} s',
                remedy='read back what was written',
            ) from error
        except BaseException:
            self.breaker.abandon()
            raise
        self.breaker.succeed()
        return answer
