"""Ask guards for their load before a request is placed.

Each of hundreds of entries sends a guard a request now and then only, so what
it last heard of the guard's load is old. A question costs one round trip and
less than a hundred bytes, and only for guards that are about to be compared;
statuses sent to all entries cost bytes that grow with the fleet, and were old
again when a request came.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_sidecar.placement import GuardView

FRESH_SECONDS = 0.25  # about the time of a run: the load differs after it
PROBED_GUARDS = 3  # the best of three random guards is seldom full
MIN_FRESH_GUARDS = 3
# Three round trips between domains. A guard that takes longer is busy or gone.
PROBE_TIMEOUT_SECONDS = 0.01


class GuardProbe:
    """Decide which guards to ask, and continue when they have answered."""

    def __init__(
        self,
        chance: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.chance = chance
        self.clock = clock

    def choose_guards(
        self,
        guards: 'Sequence[GuardView]',
    ) -> 'list[GuardView]':
        """Return the guards to ask before a choice between them.

        None are returned if enough is known.
        """
        stale = self.stale_guards(guards)
        if not stale:
            return []
        return self.chance.sample(stale, min(PROBED_GUARDS, len(stale)))

    def stale_guards(
        self,
        guards: 'Sequence[GuardView]',
    ) -> 'list[GuardView]':
        """Return the guards whose load is too old for a choice between them.

        None are returned if the loads of enough others are known.
        """
        oldest = self.clock() - FRESH_SECONDS
        stale = []
        fresh = 0
        for guard in guards:
            if not guard.is_open:
                continue
            if guard.is_local or guard.heard_at >= oldest:
                fresh += 1
            else:
                stale.append(guard)
        if not stale or fresh >= MIN_FRESH_GUARDS or len(guards) < 2:
            return []
        return stale

    def refresh_one(self, guards: 'Sequence[GuardView]') -> None:
        """Ask one guard that was not heard lately, without waiting.

        Otherwise guards that are not chosen for a while, such as those that
        were slow, would not be noticed when they have become better.
        """
        guard = self.chance.choice(guards)
        now = self.clock()
        if guard.heard_at < now - FRESH_SECONDS:
            guard.hop.probe(now)

    def ask(
        self,
        guards: 'Sequence[GuardView]',
        on_done: Callable[[], None],
    ) -> bool:
        """Ask guards; return false if none of them can be asked.

        ``on_done`` is called when all have answered or after
        ``PROBE_TIMEOUT_SECONDS``.
        """
        now = self.clock()
        asked = [guard for guard in guards if guard.hop.probe(now)]
        if not asked:
            return False
        _Wait(asked, now, self.clock, on_done)
        return True


class _Wait:
    """One request that waits for the answers of guards."""

    def __init__(
        self,
        guards: 'list[GuardView]',
        asked_at: float,
        clock: Callable[[], float],
        on_done: Callable[[], None],
    ) -> None:
        self.unheard = len(guards)
        self.on_done = on_done
        self.is_over = False
        self.guards = guards
        for guard in guards:
            guard.waits.append(self.count_answer)
        self.timer = asyncio.get_running_loop().call_later(
            PROBE_TIMEOUT_SECONDS, self.finish
        )

    def count_answer(self) -> None:
        """Count a guard that was heard."""
        self.unheard -= 1
        if not self.unheard:
            self.finish()

    def finish(self) -> None:
        """Continue with what is known by now."""
        if self.is_over:
            return
        self.is_over = True
        self.timer.cancel()
        for guard in self.guards:
            if self.count_answer in guard.waits:
                guard.waits.remove(self.count_answer)
        self.on_done()
