"""Clocks of a process.

Leases and timeouts use the monotonic clock of trio, which tests replace with a
virtual one. Wall time is used only for the times of events and for the expiry
of signatures.
"""

import time
from typing import Protocol

import trio


class WallClock(Protocol):
    """A source of wall time in seconds since the epoch."""

    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """The wall clock of the host."""

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class VirtualWallClock:
    """A wall clock that follows the virtual clock of trio."""

    def __init__(self, *, epoch: float = 1_800_000_000.0) -> None:
        self.epoch = epoch

    def wall(self) -> float:
        """Return the epoch plus the virtual seconds that have passed."""
        return self.epoch + trio.current_time()
