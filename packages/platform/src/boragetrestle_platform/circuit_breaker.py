"""Circuit breaker for operations on a platform service."""

import random
from enum import Enum

import trio

from boragetrestle_kernel.errors import StoreError

FAILURES_TO_OPEN = 5
FIRST_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 4.0

_OPEN_TIME_FACTOR = 2.0
_JITTER_FACTORS = (0.5, 1.0)


class CircuitState(Enum):
    """State of a circuit; while ``HALF_OPEN`` one trial is running."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half-open'


class CircuitBreaker:
    """Open after consecutive failures, then admit one trial at a time.

    The time until the next trial grows exponentially and is jittered, so that
    clients of a service that recovers do not all return at once.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.state = CircuitState.CLOSED
        self.failures = 0
        self.open_seconds = FIRST_OPEN_SECONDS
        self.next_trial_at = 0.0

    def admit(self) -> None:
        """Raise ``StoreError`` unless an operation may start now."""
        if self.state is CircuitState.CLOSED:
            return
        is_due = trio.current_time() >= self.next_trial_at
        if self.state is CircuitState.HALF_OPEN or not is_due:
            raise StoreError(
                'the platform failed before and is spared',
                remedy='wait a few seconds',
            )
        self.state = CircuitState.HALF_OPEN

    def record_success(self) -> None:
        """Close the circuit after an operation that was answered."""
        self.state = CircuitState.CLOSED
        self.failures = 0
        self.open_seconds = FIRST_OPEN_SECONDS

    def record_failure(self) -> None:
        """Count a failed operation and open the circuit if it is due."""
        self.failures += 1
        is_trial = self.state is CircuitState.HALF_OPEN
        if not is_trial and self.failures < FAILURES_TO_OPEN:
            return
        self.state = CircuitState.OPEN
        pause = self.open_seconds * self.rng.uniform(*_JITTER_FACTORS)
        self.next_trial_at = trio.current_time() + pause
        self.open_seconds = min(
            MAX_OPEN_SECONDS,
            self.open_seconds * _OPEN_TIME_FACTOR,
        )

    def record_cancellation(self) -> None:
        """Let another trial run if a trial was cancelled unanswered."""
        if self.state is CircuitState.HALF_OPEN:
            self.state = CircuitState.OPEN
