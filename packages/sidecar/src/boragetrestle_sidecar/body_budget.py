"""Bound what a node holds of the bodies of its callers' requests.

Many large uploads at the same time would exceed the memory of the process.
"""

from typing import Protocol

# The rest is for the process itself, answers and what links hold.
BODY_MEMORY_SHARE = 0.25


class BodyReader(Protocol):
    """A connection whose reading can be paused in the middle of a body."""

    def pause_body(self) -> None:
        """Read no more until ``resume_body``."""

    def resume_body(self) -> None:
        """Read on."""


class BodyBudget:
    """Count the bytes of bodies that connections hold; pause some when full.

    The connection that holds most of an unfinished body is never paused, so
    that one body is always completed.

    >>> budget = BodyBudget(100)
    >>> budget.held_bytes, budget.is_full
    (0, False)
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held: dict[BodyReader, int] = {}
        self.unfinished: dict[BodyReader, int] = {}
        self.paused: list[BodyReader] = []
        self.held_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether further bodies have to wait."""
        return self.held_bytes >= self.limit

    def record(self, reader: BodyReader, held: int, unfinished: int) -> None:
        """Set what a connection holds of all bodies, and of an unfinished one."""
        self.held_bytes += held - self.held.pop(reader, 0)
        self.unfinished.pop(reader, None)
        if held:
            self.held[reader] = held
        if unfinished:
            self.unfinished[reader] = unfinished
        if not self.is_full:
            self._resume_all()
            return
        if unfinished:
            self._pause(reader)
        self._resume_furthest()

    def wait(self, reader: BodyReader) -> None:
        """Resume a connection that has not begun with a body when there is room."""
        if reader not in self.paused:
            self.paused.append(reader)

    def forget(self, reader: BodyReader) -> None:
        """Release what a connection that has closed held."""
        if reader in self.paused:
            self.paused.remove(reader)
        self.record(reader, 0, 0)

    @property
    def _furthest(self) -> BodyReader:
        return max(self.unfinished, key=self.unfinished.__getitem__)

    def _pause(self, reader: BodyReader) -> None:
        if reader is self._furthest:
            return
        # A connection in ``wait`` may send its body unasked.
        if reader not in self.paused:
            self.paused.append(reader)
        reader.pause_body()

    def _resume_furthest(self) -> None:
        if self.unfinished and self._furthest in self.paused:
            furthest = self._furthest
            self.paused.remove(furthest)
            furthest.resume_body()

    def _resume_all(self) -> None:
        paused = self.paused
        self.paused = []
        for reader in paused:
            reader.resume_body()
