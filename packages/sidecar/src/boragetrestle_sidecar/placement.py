"""Choose the guard that runs a request.

The load this answers: targets of one service differ in speed by three times,
turn slow or silent, start cold, fill up, or fail quickly
while they seem healthy. A request goes where it is expected
to end first; another failure domain must be better by a margin, since crossing
costs time and bytes.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from boragetrestle_sidecar.run_meter import FIRST_RUN_SECONDS

if TYPE_CHECKING:
    from boragetrestle_sidecar.hop import Hop

# A guard in another domain must be expected to end this much earlier.
CROSSING_SECONDS = 0.02
# A guard that has served nothing yet is expected to be this much quicker than
# the quickest other one, so that a new target gets work.
UNKNOWN_SHARE = 0.9
# A failure costs a caller about as much as an answer this much later, and the
# runs that it has to wait for again: failing at once must not look quick.
FAILURE_SECONDS = 0.5
FAILURE_RUNS = 3.0
# Runs that go to any guard, so that one that was slow gets another chance;
# one that fails is tried less often, by the share that it fails.
EXPLORED_SHARE = 0.03
MAX_COMPARED = 6  # guards looked at; more gain little and cost time


@dataclass(slots=True, eq=False)
class GuardView:
    """What an entry knows of one guard.

    ``unconfirmed`` counts runs sent since the guard's last word on its load.
    """

    address: str
    hop: 'Hop'
    domain: str
    service: str = ''
    is_open: bool = False
    limit: int = 1
    running: int = 0
    waiting: int = 0
    run_seconds: float = 0.0
    failing_share: float = 0.0
    unconfirmed: int = 0
    heard_at: float = 0.0
    is_local: bool = False

    def expected_seconds(self, run_seconds: float) -> float:
        """Return the time until a run that is sent now has ended."""
        held = self.running + self.waiting + self.unconfirmed
        ahead = max(0, held + 1 - self.limit)
        return run_seconds + ahead * run_seconds / max(1, self.limit)


def choose_guard(
    guards: Sequence[GuardView],
    *,
    domain: str,
    avoided: Sequence[str],
    is_lively: Callable[[GuardView], bool],
    chance: random.Random,
) -> GuardView | None:
    """Return the guard where a run is expected to end first.

    Guards that aren't lively are taken when there are no others.
    """
    open_guards = [
        guard
        for guard in guards
        if guard.is_open and guard.address not in avoided
    ]
    lively = [guard for guard in open_guards if is_lively(guard)]
    candidates = lively or open_guards
    if not candidates:
        return None
    if chance.random() < EXPLORED_SHARE:
        explored = chance.choice(candidates)
        if chance.random() >= explored.failing_share:
            return explored
    if len(candidates) > MAX_COMPARED:
        candidates = chance.sample(candidates, MAX_COMPARED)
    return _quickest(candidates, domain)


def _quickest(guards: Sequence[GuardView], domain: str) -> GuardView:
    known = [guard.run_seconds for guard in guards if guard.run_seconds]
    assumed = min(known, default=FIRST_RUN_SECONDS) * UNKNOWN_SHARE
    failure = FAILURE_SECONDS + FAILURE_RUNS * max(known, default=0.0)
    best = guards[0]
    least = math.inf
    for guard in guards:
        cost = guard.expected_seconds(guard.run_seconds or assumed)
        if guard.domain != domain:
            cost += CROSSING_SECONDS
        cost += guard.failing_share * failure
        if cost < least:
            best = guard
            least = cost
    return best
