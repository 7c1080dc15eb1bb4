"""Counts of the last seconds that decay smoothly."""

import math

import trio

_WINDOW_SECONDS = 2.0


class DecayingCount:
    """A count whose entries lose weight exponentially.

    The time constant is in seconds, so that ``value / window`` estimates the
    events a second. ``total`` never decays.
    """

    __slots__ = ('total', 'updated_at', 'value', 'window')

    def __init__(self, *, window: float = _WINDOW_SECONDS) -> None:
        self.window = window
        self.value = 0.0
        self.total = 0.0
        self.updated_at = trio.current_time()

    def add(self, amount: float = 1) -> None:
        """Add to the count now."""
        self.value = self.read() + amount
        self.total += amount

    def read(self) -> float:
        """Return the count as decayed until now."""
        now = trio.current_time()
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.value *= math.exp(-elapsed / self.window)
            self.updated_at = now
        return self.value

    @property
    def per_second(self) -> float:
        """The events a second over the window."""
        return self.read() / self.window
