"""A hybrid logical clock.

Its stamps follow wall time and are never earlier than a stamp already seen, so
that an effect sorts after its cause although the clocks of hosts differ.
"""

from typing import NamedTuple

from boragetrestle_kernel.clock import WallClock

_MICROSECONDS_PER_SECOND = 1_000_000


class Stamp(NamedTuple):
    """Microseconds since the epoch with a counter for equal times."""

    micros: int
    counter: int


class HybridClock:
    """Issue stamps that increase within a process and across messages."""

    def __init__(self, clock: WallClock) -> None:
        self.clock = clock
        self.last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return a stamp greater than every stamp seen so far."""
        micros = int(self.clock.wall() * _MICROSECONDS_PER_SECOND)
        if micros > self.last.micros:
            self.last = Stamp(micros, 0)
        else:
            self.last = Stamp(self.last.micros, self.last.counter + 1)
        return self.last

    def merge(self, seen: Stamp) -> Stamp:
        """Advance past a received stamp; return a stamp after it."""
        self.last = max(self.last, seen)
        return self.tick()
