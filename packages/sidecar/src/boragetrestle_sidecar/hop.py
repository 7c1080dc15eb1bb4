"""The channel from an entry to a guard.

An entry is the node that took a request from its caller; a guard is the node
beside the target, which may be the same process.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from boragetrestle_sidecar.guard_job import GuardJob

if TYPE_CHECKING:
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.outcome import Outcome
    from boragetrestle_sidecar.run_order import RunOrder


class Hop(Protocol):
    """The channel that sends runs to one guard and returns their outcomes."""

    def run(
        self,
        order: 'RunOrder',
        reply: 'Callable[[Outcome], None]',
    ) -> int:
        """Send a run; return the number by which it is cancelled."""

    def cancel(self, number: int) -> None:
        """Cancel a run.

        Unless it has to go on, its end is reported at once, so that it is no
        longer counted at the guard.
        """

    def unanswered_seconds(self, now: float) -> float:
        """Return the seconds since the guard should have sent something."""

    def probe(self, now: float) -> bool:
        """Ask the guard for its load; return whether an answer is due."""


class LocalHop:
    """The channel to the guard in the same process."""

    def __init__(self, guard: 'Guard') -> None:
        self.guard = guard
        self.jobs: dict[int, GuardJob] = {}
        self.number = 0

    def run(
        self,
        order: 'RunOrder',
        reply: 'Callable[[Outcome], None]',
    ) -> int:
        """Send a run to the guard."""
        self.number += 1
        number = self.number

        def finish(outcome: 'Outcome') -> None:
            self.jobs.pop(number, None)
            reply(outcome)

        job = self.guard.submit(order, finish)
        if job.state.value != 'ended':
            self.jobs[number] = job
        return number

    def cancel(self, number: int) -> None:
        """Cancel a run."""
        job = self.jobs.pop(number, None)
        if job is not None:
            self.guard.cancel(job)

    def unanswered_seconds(self, now: float) -> float:
        """Return 0: the guard runs on the same event loop."""
        return 0.0

    def probe(self, now: float) -> bool:
        """Return false: the load of this guard is always known."""
        return False
