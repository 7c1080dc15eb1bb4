"""The order in which a guard runs what waits for a slot.

The load this answers: more runs arrive than the target's slots serve, requests
of callers beside the onward calls of runs under way. What must be answered
first goes first, by the response-time goal: short requests with a near goal pass
the long ones, and nothing waits for ever behind a stream of others.
"""

from bisect import insort
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from boragetrestle_sidecar.guard_job import GuardJob


class _Place(NamedTuple):
    goal_at: float
    number: int
    job: 'GuardJob'


class GuardQueue:
    """Runs that wait, the one with the nearest goal first."""

    def __init__(self) -> None:
        self.places: list[_Place] = []
        self.number = 0

    def __len__(self) -> int:
        """Return how many runs wait."""
        return len(self.places)

    def __iter__(self) -> 'Iterator[GuardJob]':
        """Iterate over the runs that wait, in their order."""
        return (place.job for place in list(self.places))

    def push(self, job: 'GuardJob') -> None:
        """Add a run."""
        self.number += 1
        insort(self.places, _Place(job.goal_at, self.number, job))

    def pop(self) -> 'GuardJob | None':
        """Remove and return the run that goes next."""
        return self.places.pop(0).job if self.places else None

    def remove(self, job: 'GuardJob') -> None:
        """Remove a run that no longer waits."""
        self.places = [place for place in self.places if place.job is not job]

    def ahead_of(self, goal_at: float) -> int:
        """Return how many runs go before a new one."""
        low = 0
        high = len(self.places)
        while low < high:
            middle = (low + high) // 2
            if self.places[middle].goal_at <= goal_at:
                low = middle + 1
            else:
                high = middle
        return low

    def take_expired(self, latest: float) -> 'list[GuardJob]':
        """Remove and return runs whose time is up by ``latest``."""
        expired = [
            place.job for place in self.places if place.job.expires_at < latest
        ]
        if expired:
            self.places = [
                place for place in self.places if place.job.expires_at >= latest
            ]
        return expired

    def take_all(self) -> 'list[GuardJob]':
        """Remove and return all runs."""
        jobs = list(self)
        self.places.clear()
        return jobs
