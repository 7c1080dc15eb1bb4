"""Rate limit of a node's operations on the platform."""

from collections.abc import Callable
from enum import Enum

import trio

from boragetrestle_kernel.errors import StoreError
from boragetrestle_platform.pace import Pacer

FLEET_READS_PER_SECOND = 1_600.0
FLEET_WRITES_PER_SECOND = 400.0
MAX_WAIT_SECONDS = 2.0

_BURST_SECONDS = 1.0
_MIN_BURST_OPERATIONS = 3.0


class OperationKind(Enum):
    """Kind of an operation; each kind has its own rate limit."""

    READ = 'read'
    WRITE = 'write'


_FLEET_RATES = {
    OperationKind.READ: FLEET_READS_PER_SECOND,
    OperationKind.WRITE: FLEET_WRITES_PER_SECOND,
}


class StoreBudget:
    """Limit operations so that all nodes together stay within fleet rates.

    Each node gets an equal share of the fleet's rates, with short bursts. An
    operation that would wait longer than ``MAX_WAIT_SECONDS`` is refused.
    """

    def __init__(self, node_count: Callable[[], int]) -> None:
        self.node_count = node_count
        self.pacers = {kind: Pacer() for kind in OperationKind}

    async def wait_for_turn(self, kind: OperationKind) -> None:
        """Wait for a turn; raise ``StoreError`` if it is too far ahead."""
        rate = _FLEET_RATES[kind] / max(1, self.node_count())
        burst = max(_MIN_BURST_OPERATIONS, rate * _BURST_SECONDS)
        pacer = self.pacers[kind]
        wait = pacer.reserve(now=trio.current_time(), rate=rate, burst=burst)
        if wait > MAX_WAIT_SECONDS:
            pacer.cancel_reservation(rate=rate)
            raise StoreError(
                f'the budget of {kind.value}s is spent for {wait:.1f} s',
                remedy='wait, or let the platform carry more',
            )
        if wait:
            await trio.sleep(wait)
