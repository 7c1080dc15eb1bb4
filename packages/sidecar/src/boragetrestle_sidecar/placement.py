"""Choose the guard that a request is sent to.

A guard is the node beside a target (back end) that enforces the target's
limits. Targets of one service differ in speed by a factor of three, become
slow or stop answering, start with cold caches, fill up, or fail quickly while
they seem healthy. A request goes where it is expected to end first. A guard in
another failure domain (zone) must be better by a margin, since traffic between
domains costs time and bytes.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from boragetrestle_sidecar.run_meter import ASSUMED_RUN_SECONDS

if TYPE_CHECKING:
    from boragetrestle_sidecar.hop import Hop

# A guard in another domain must be expected to end this much earlier.
CROSS_DOMAIN_PENALTY_SECONDS = 0.02
# Run time assumed for a guard without completed runs, relative to the quickest
# other guard, so that a new target gets requests.
UNKNOWN_RUN_TIME_SHARE = 0.9
# A failure costs a caller about as much as an answer this much later, plus the
# time of a few more runs. Without this, a target that fails at once would be
# preferred as the quickest.
FAILURE_PENALTY_SECONDS = 0.5
FAILURE_PENALTY_RUNS = 3.0
# Share of requests that go to a random guard, so that a slow one which recovers
# is noticed. A guard is skipped in proportion to its share of failures.
EXPLORATION_SHARE = 0.03
MIN_LIMIT = 0.01  # keeps the expected wait finite
MAX_COMPARED_GUARDS = 6  # comparing more gains little and costs time


@dataclass(slots=True, eq=False)
class GuardView:
    """The load and state of one guard as an entry knows them.

    ``unconfirmed_runs`` counts runs sent since the guard last reported its
    load, at ``heard_at``. ``is_open`` tells whether the guard accepts runs, and
    ``limit`` how many run at once, a fraction for a target with a rate limit.
    The target is cold until ``warm_at``.
    ``waits`` are called when it is heard again.
    """

    address: str
    hop: 'Hop'
    domain: str
    service: str = ''
    is_open: bool = False
    limit: float = 1
    running: int = 0
    waiting: int = 0
    run_seconds: float = 0.0
    failing_share: float = 0.0
    unconfirmed_runs: int = 0
    heard_at: float = 0.0
    warm_at: float = 0.0
    is_local: bool = False
    waits: list[Callable[[], None]] = field(default_factory=list)

    def expected_seconds(self, run_seconds: float) -> float:
        """Return the seconds until a run that is sent now has ended."""
        assigned = self.running + self.waiting + self.unconfirmed_runs
        limit = max(MIN_LIMIT, self.limit)
        ahead = max(0, assigned + 1 - limit)
        return run_seconds + ahead * run_seconds / limit


def choose_guard(
    guards: Sequence[GuardView],
    *,
    domain: str,
    avoided: Sequence[str],
    is_responsive: Callable[[GuardView], bool],
    chance: random.Random,
) -> GuardView | None:
    """Return the guard where a run is expected to end first.

    ``avoided`` holds addresses of guards to skip, ``is_responsive`` tells
    whether a guard responds, and ``chance`` is a random number generator.
    Guards that are not responsive are chosen only if there are no others.
    """
    candidates = find_candidates(
        guards, avoided=avoided, is_responsive=is_responsive
    )
    if not candidates:
        return None
    if chance.random() < EXPLORATION_SHARE:
        explored = chance.choice(candidates)
        if chance.random() >= explored.failing_share:
            return explored
    if len(candidates) > MAX_COMPARED_GUARDS:
        candidates = chance.sample(candidates, MAX_COMPARED_GUARDS)
    costs = expected_costs(candidates, domain=domain)
    return candidates[costs.index(min(costs))]


def find_candidates(
    guards: Sequence[GuardView],
    *,
    avoided: Sequence[str],
    is_responsive: Callable[[GuardView], bool],
) -> list[GuardView]:
    """Return the open guards that respond, or all open ones if none does."""
    open_guards = [
        guard
        for guard in guards
        if guard.is_open and guard.address not in avoided
    ]
    responsive = [guard for guard in open_guards if is_responsive(guard)]
    return responsive or open_guards


def expected_costs(guards: Sequence[GuardView], *, domain: str) -> list[float]:
    """Return for each guard the seconds by which guards are compared.

    These are the seconds until a run that is sent now has ended, with the
    penalties for failures and for another domain than ``domain``. Guards
    without completed runs are judged by the others, so that the seconds depend
    on the guards that are compared.
    """
    known = [guard.run_seconds for guard in guards if guard.run_seconds]
    assumed = min(known, default=ASSUMED_RUN_SECONDS) * UNKNOWN_RUN_TIME_SHARE
    failure = FAILURE_PENALTY_SECONDS + FAILURE_PENALTY_RUNS * max(
        known, default=0.0
    )
    costs = []
    for guard in guards:
        cost = guard.expected_seconds(guard.run_seconds or assumed)
        if guard.domain != domain:
            cost += CROSS_DOMAIN_PENALTY_SECONDS
        costs.append(cost + guard.failing_share * failure)
    return costs
