"""Stop operations on a service that fails."""

import random
from enum import Enum

import trio

from boragetrestle_kernel.errors import StoreError

FAILURES_TO_OPEN = 5
FIRST_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 4.0

_OPEN_FACTOR = 2.0
_JITTER = (0.5, 1.0)


class CircuitState(Enum):
    """State of a circuit; ``HALF_OPEN`` has one trial under way."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half-open'


class CircuitBreaker:
    """Open after failures in a row, then let one trial through at a time.

    The time until the next trial grows and is jittered, so that the clients
    of a service that returns come back spread out.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.state = CircuitState.CLOSED
        self.failures = 0
        self.open_seconds = FIRST_OPEN_SECONDS
        self.trial_at = 0.0

    def check(self) -> None:
        """Raise ``StoreError`` unless an operation may start now."""
        if self.state is CircuitState.CLOSED:
            return
        is_due = trio.current_time() >= self.trial_at
        if self.state is CircuitState.HALF_OPEN or not is_due:
            raise StoreError(
                'the platform failed before and is spared',
                remedy='wait a few seconds',
            )
        self.state = CircuitState.HALF_OPEN

    def succeed(self) -> None:
        """Close after an operation that was answered."""
        self.state = CircuitState.CLOSED
        self.failures = 0
        self.open_seconds = FIRST_OPEN_SECONDS

    def fail(self) -> None:
        """Count an operation that was not answered."""
        self.failures += 1
        is_trial = self.state is CircuitState.HALF_OPEN
        if not is_trial and self.failures < FAILURES_TO_OPEN:
            return
        self.state = CircuitState.OPEN
        pause = self.open_seconds * self.rng.uniform(*_JITTER)
        self.trial_at = trio.current_time() + pause
        self.open_seconds = min(
            MAX_OPEN_SECONDS,
            self.open_seconds * _OPEN_FACTOR,
        )

    def abandon(self) -> None:
        """End an operation that was cancelled before its answer."""
        if self.state is CircuitState.HALF_OPEN:
            self.state = CircuitState.OPEN
