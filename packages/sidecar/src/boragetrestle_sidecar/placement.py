"""Choose the guard that runs a request.

The load this answers: targets of one service differ in speed by three times,
turn slow or silent, start cold and fill up. A request goes where it is expected
to end first; another failure domain must be better by a margin, since crossing
costs time and bytes.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_sidecar.hop import Hop

# A guard in another domain must be expected to end this much earlier.
CROSSING_SECONDS = 0.02
MAX_COMPARED = 6  # guards looked at; more gain little and cost time
SILENT_SECONDS = 0.7  # a link that is silent for longer is avoided


@dataclass(slots=True, eq=False)
class GuardView:
    """What an entry knows of one guard.

    ``unconfirmed`` counts runs sent since the guard's last word on its load.
    """

    address: str
    hop: 'Hop'
    domain: str
    service: str = ''
    target: str = ''
    is_open: bool = False
    limit: int = 1
    running: int = 0
    waiting: int = 0
    run_seconds: float = 0.05
    unconfirmed: int = 0
    heard_at: float = 0.0
    is_local: bool = False

    def expected_seconds(self) -> float:
        """Return the time until a run that is sent now has ended."""
        held = self.running + self.waiting + self.unconfirmed
        ahead = max(0, held + 1 - self.limit)
        wait = ahead * self.run_seconds / max(1, self.limit)
        return wait + self.run_seconds


def choose_guard(
    guards: Sequence[GuardView],
    *,
    domain: str,
    avoided: Sequence[str],
    now: float,
    chance: random.Random,
) -> GuardView | None:
    """Return the guard where a run is expected to end first."""
    open_guards = [
        guard
        for guard in guards
        if guard.is_open and guard.address not in avoided
    ]
    lively = [
        guard
        for guard in open_guards
        if guard.is_local or now - guard.heard_at < SILENT_SECONDS
    ]
    candidates = lively or open_guards
    if not candidates:
        return None
    if len(candidates) > MAX_COMPARED:
        candidates = chance.sample(candidates, MAX_COMPARED)
    best = candidates[0]
    least = _cost(best, domain)
    for guard in candidates[1:]:
        cost = _cost(guard, domain)
        if cost < least:
            best = guard
            least = cost
    return best


def _cost(guard: GuardView, domain: str) -> float:
    crossing = 0.0 if guard.domain == domain else CROSSING_SECONDS
    return guard.expected_seconds() + crossing
