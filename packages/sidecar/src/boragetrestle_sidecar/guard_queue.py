"""The order in which a guard runs what waits for a slot.

The load this answers: more runs arrive than the target's slots serve. Work that
is under way comes first, since turning a call away wastes all that was done
above it; then the more urgent routes. A run whose time is nearly up is not
started, since its caller would not get the answer.
"""

from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from boragetrestle_sidecar.guard_job import GuardJob

# A run with less time left than this share of a mean run is not worth a slot.
LEAST_TIME_SHARE = 0.5


class Rank(NamedTuple):
    """What decides which run goes first; the lowest goes first."""

    is_root: bool
    priority: int
    is_new: bool


def rank_of(job: 'GuardJob') -> Rank:
    """Return the rank of a run."""
    order = job.order
    return Rank(not order.is_call, order.priority, not order.returns)


class GuardQueue:
    """Runs that wait, by rank and then by arrival."""

    def __init__(self) -> None:
        self.by_rank: dict[Rank, deque[GuardJob]] = {}
        self.count = 0

    def __len__(self) -> int:
        """Return how many runs wait."""
        return self.count

    def __iter__(self) -> 'Iterator[GuardJob]':
        """Iterate over the runs that wait, in no useful order."""
        for waiting in list(self.by_rank.values()):
            yield from list(waiting)

    def push(self, job: 'GuardJob') -> None:
        """Add a run."""
        rank = rank_of(job)
        waiting = self.by_rank.get(rank)
        if waiting is None:
            self.by_rank[rank] = deque((job,))
            self.by_rank = dict(sorted(self.by_rank.items()))
        else:
            waiting.append(job)
        self.count += 1

    def pop(self) -> 'GuardJob | None':
        """Remove and return the run that goes next."""
        for waiting in self.by_rank.values():
            if waiting:
                self.count -= 1
                return waiting.popleft()
        return None

    def remove(self, job: 'GuardJob') -> None:
        """Remove a run that no longer waits."""
        self.by_rank[rank_of(job)].remove(job)
        self.count -= 1

    def ahead_of(self, job: 'GuardJob') -> int:
        """Return how many runs go before a new one."""
        rank = rank_of(job)
        return sum(
            len(waiting)
            for known, waiting in self.by_rank.items()
            if known <= rank
        )

    def take_expired(self, now: float, least_left: float) -> 'list[GuardJob]':
        """Remove and return runs with less than ``least_left`` seconds."""
        expired = [
            job
            for waiting in self.by_rank.values()
            for job in waiting
            if job.expires_at - now < least_left
        ]
        for job in expired:
            self.remove(job)
        return expired

    def take_all(self) -> 'list[GuardJob]':
        """Remove and return all runs."""
        jobs = list(self)
        self.by_rank.clear()
        self.count = 0
        return jobs
