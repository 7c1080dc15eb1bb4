"""Bound what a node holds of the bodies of its callers' requests.

Many large uploads at the same time would exceed the memory of the process.
"""

from typing import NamedTuple, Protocol

# A larger body is received, passed on and sent without being copied as a whole.
LARGE_BODY_BYTES = 65_536
# The rest is for the process itself, answers, what links hold, and the bodies
# of other nodes' callers, of which each takes as much again at the guard.
BODY_MEMORY_SHARE = 0.25
# A single body takes at most this share of the limit before it has been read:
# a larger one would wait without end for a moment without any other body, and
# small ones would wait for all of it.
_SINGLE_SHARE = 0.75
# A body that needs less than this share of the limit overtakes those that wait.
_SMALL_SHARE = 0.02
# Kept for such bodies, so that slow uploads don't hold them back.
_SMALL_RESERVE = 0.1


class BodyReader(Protocol):
    """A connection whose reading can be paused in the middle of a body."""

    def pause_body(self) -> None:
        """Read no more until ``resume_body``."""

    def resume_body(self) -> None:
        """Read on."""

    def refuse_waiting_body(self, now: float) -> None:
        """Refuse the body if it has waited for too long."""


class BodyClaim(NamedTuple):
    """The bytes of bodies that one connection holds and will hold.

    ``held`` counts all bodies, ``unfinished`` the one that is being read, and
    ``expected`` is how long that one becomes.
    """

    held: int = 0
    unfinished: int = 0
    expected: int = 0

    @property
    def complete(self) -> int:
        """What complete bodies hold."""
        return self.held - self.unfinished

    @property
    def needed(self) -> int:
        """What is held once the unfinished body is complete.

        >>> BodyClaim(held=12, unfinished=10, expected=100).needed
        102
        """
        return self.complete + max(self.unfinished, self.expected)


_NO_CLAIM = BodyClaim()


class BodyBudget:
    """Count the bytes of bodies that connections hold; pause some when full.

    A body is read on only if all of it fits, and then to its end, so that
    bodies that arrive at one pace don't fill the memory with their beginnings.
    Those that are paused go on in the order in which they were paused.

    >>> budget = BodyBudget(100)
    >>> budget.held_bytes, budget.is_full
    (0, False)
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.claims: dict[BodyReader, BodyClaim] = {}
        self.paused: dict[BodyReader, None] = {}
        self.held_bytes = 0
        # What is held and what the bodies that are read will still take.
        self.claimed_bytes = 0
        # The same without the beginnings of bodies that are paused.
        self.active_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether further bodies have to wait."""
        return self.claimed_bytes >= self.limit

    def record(self, reader: BodyReader, claim: BodyClaim) -> None:
        """Set what a connection holds of all bodies, and of an unfinished one."""
        before = self.claims.get(reader, _NO_CLAIM)
        self._count(reader, -1)
        self.claims.pop(reader, None)
        if claim.held:
            self.claims[reader] = claim
        self._count(reader, 1)
        if claim.unfinished and claim.needed > before.needed:
            self._pause_unless_it_fits(reader, claim)
        if self.paused:
            self._resume_waiting()

    def wait(self, reader: BodyReader) -> None:
        """Resume a connection that has not begun with a body when there is room."""
        self._set_paused(reader)

    def forget(self, reader: BodyReader) -> None:
        """Release what a connection that has closed held."""
        self._set_active(reader)
        self.record(reader, _NO_CLAIM)

    def _pause_unless_it_fits(
        self,
        reader: BodyReader,
        claim: BodyClaim,
    ) -> None:
        is_behind = self.paused and claim.needed > self.limit * _SMALL_SHARE
        # A connection in ``wait`` may send its body unasked.
        if reader in self.paused or is_behind or not self._fits(reader):
            self._set_paused(reader)
            reader.pause_body()

    def _fits(self, reader: BodyReader) -> bool:
        claim = self.claims.get(reader, _NO_CLAIM)
        is_paused = reader in self.paused
        needed = max(1, self._claimed(claim, is_paused=False))
        others = self.claimed_bytes - self._claimed(claim, is_paused=is_paused)
        limit: float = self.limit
        if claim.held and needed <= limit * _SMALL_SHARE:
            limit *= 1 + _SMALL_RESERVE
        if others + needed <= limit:
            return True
        # The beginnings of bodies that are paused must not hold back all.
        active = self.active_bytes - self._active(claim, is_paused=is_paused)
        return active <= self.limit * (1 - _SINGLE_SHARE)

    def _resume_waiting(self) -> None:
        """Resume connections in their order, as long as their bodies fit."""
        for reader in list(self.paused):
            if not self._fits(reader):
                return
            self._set_active(reader)
            reader.resume_body()

    def _set_paused(self, reader: BodyReader) -> None:
        if reader not in self.paused:
            self._count(reader, -1)
            self.paused[reader] = None
            self._count(reader, 1)

    def _set_active(self, reader: BodyReader) -> None:
        if reader in self.paused:
            self._count(reader, -1)
            self.paused.pop(reader)
            self._count(reader, 1)

    def _count(self, reader: BodyReader, sign: int) -> None:
        """Add the claim of a connection to the totals, or take it off."""
        claim = self.claims.get(reader)
        if claim is None:
            return
        is_paused = reader in self.paused
        self.held_bytes += sign * claim.held
        self.claimed_bytes += sign * self._claimed(claim, is_paused=is_paused)
        self.active_bytes += sign * self._active(claim, is_paused=is_paused)

    def _claimed(self, claim: BodyClaim, *, is_paused: bool) -> int:
        if is_paused:
            return claim.held
        single = int(self.limit * _SINGLE_SHARE)
        return max(claim.held, min(claim.needed, single))

    def _active(self, claim: BodyClaim, *, is_paused: bool) -> int:
        if is_paused:
            return claim.complete
        return self._claimed(claim, is_paused=False)
