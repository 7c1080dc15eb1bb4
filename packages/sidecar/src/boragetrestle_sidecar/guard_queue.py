"""Queue the runs that wait at a guard for a slot of its target.

The queue fills when more runs arrive than the target's slots serve. It holds
requests of callers together with onward calls, which other runs make while they
are being served. The run with the earliest response-time goal goes first: short
requests with a near goal overtake long ones, and no run starves behind a stream
of others.
"""

from bisect import insort
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from boragetrestle_sidecar.guard_job import GuardJob


class _QueuedRun(NamedTuple):
    goal_at: float
    sequence: int
    job: 'GuardJob'


class GuardQueue:
    """Waiting runs, the one with the earliest response-time goal first."""

    def __init__(self) -> None:
        self.queued_runs: list[_QueuedRun] = []
        self.sequence = 0

    def __len__(self) -> int:
        """Return how many runs wait."""
        return len(self.queued_runs)

    def __iter__(self) -> 'Iterator[GuardJob]':
        """Iterate over the waiting runs, in their order."""
        return (queued_run.job for queued_run in list(self.queued_runs))

    def push(self, job: 'GuardJob') -> None:
        """Add a run."""
        self.sequence += 1
        insort(self.queued_runs, _QueuedRun(job.goal_at, self.sequence, job))

    def pop(self) -> 'GuardJob | None':
        """Remove and return the next run, if any."""
        return self.queued_runs.pop(0).job if self.queued_runs else None

    def remove(self, job: 'GuardJob') -> None:
        """Remove a run that no longer waits."""
        self.queued_runs = [
            queued_run
            for queued_run in self.queued_runs
            if queued_run.job is not job
        ]

    def count_ahead_of(self, goal_at: float) -> int:
        """Count the runs that would go before a new one with this goal."""
        low = 0
        high = len(self.queued_runs)
        while low < high:
            middle = (low + high) // 2
            if self.queued_runs[middle].goal_at <= goal_at:
                low = middle + 1
            else:
                high = middle
        return low

    def pop_expired(self, latest: float) -> 'list[GuardJob]':
        """Remove and return runs whose deadline is before ``latest``."""
        expired = [
            queued_run.job
            for queued_run in self.queued_runs
            if queued_run.job.expires_at < latest
        ]
        if expired:
            self.queued_runs = [
                queued_run
                for queued_run in self.queued_runs
                if queued_run.job.expires_at >= latest
            ]
        return expired

    def pop_all(self) -> 'list[GuardJob]':
        """Remove and return all runs."""
        jobs = list(self)
        self.queued_runs.clear()
        return jobs
