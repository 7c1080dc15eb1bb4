"""A hybrid logical clock.

Stamps follow wall time and never fall behind a stamp already seen, so that an
effect sorts after its cause although the clocks of hosts differ.
"""

from typing import NamedTuple

from boragetrestle_kernel.clock import WallClock

_MICROSECONDS = 1_000_000


class Stamp(NamedTuple):
    """Microseconds since the epoch with a counter for equal times."""

    micros: int
    counter: int


class HybridClock:
    """Issue stamps that grow in one process and along messages."""

    def __init__(self, clock: WallClock) -> None:
        self.clock = clock
        self.last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return a stamp greater than every stamp seen so far."""
        micros = int(self.clock.wall() * _MICROSECONDS)
        if micros > self.last.micros:
            self.last = Stamp(micros, 0)
        else:
            self.last = Stamp(self.last.micros, self.last.counter + 1)
        return self.last

    def merge(self, seen: Stamp) -> Stamp:
        """Take over a stamp received from another process."""
        self.last = max(self.last, seen)
        return self.tick()
