"""A node's part of what the platform carries."""

from collections.abc import Callable
from enum import Enum

import trio

from boragetrestle_kernel.errors import StoreError
from boragetrestle_platform.pace import Pace

FLEET_READS_PER_SECOND = 1_600.0
FLEET_WRITES_PER_SECOND = 400.0
MAX_WAIT_SECONDS = 2.0

_BURST_SECONDS = 1.0
_MIN_BURST = 3.0


class Operation(Enum):
    """What an operation costs the platform."""

    READ = 'read'
    WRITE = 'write'


_FLEET_RATES = {
    Operation.READ: FLEET_READS_PER_SECOND,
    Operation.WRITE: FLEET_WRITES_PER_SECOND,
}


class StoreBudget:
    """Pace operations so that all nodes together stay within the platform.

    Each node may do its even part of the fleet's rates and short bursts. An
    operation that would wait longer than ``MAX_WAIT_SECONDS`` is refused.
    """

    def __init__(self, node_count: Callable[[], int]) -> None:
        self.node_count = node_count
        self.paces = {kind: Pace() for kind in Operation}

    async def spend(self, kind: Operation) -> None:
        """Wait for the turn of an operation; raise ``StoreError`` if far."""
        rate = _FLEET_RATES[kind] / max(1, self.node_count())
        burst = max(_MIN_BURST, rate * _BURST_SECONDS)
        pace = self.paces[kind]
        wait = pace.wait(now=trio.current_time(), rate=rate, burst=burst)
        if wait > MAX_WAIT_SECONDS:
            pace.give_back(rate=rate)
            raise StoreError(
                f'the budget of {kind.value}s is spent for {wait:.1f} s',
                remedy='wait, or let the platform carry more',
            )
        if wait:
            await trio.sleep(wait)
