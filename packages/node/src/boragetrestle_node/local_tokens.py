"""The tokens of one organisation at this node."""

from math import inf, sqrt

import trio

from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.demand_meter import DemandMeter
from boragetrestle_node.share_lease import ShareLease

LOW_SECONDS = 0.25
GOAL_SECONDS = 0.7
QUIET_SECONDS = 1.0
AHEAD_SECONDS = 0.1
LONGEST_AHEAD_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 0.03
LONGEST_PAUSE_SECONDS = 0.5
SHORT_PAUSE_SECONDS = 0.3

_PAUSE_FACTOR = 1.5
_SPREAD = 4.0
_ROUNDING = 1e-9


class LocalTokens:
    """Leases of shares, and the calls that wait for tokens.

    ``wake`` is set when the holders should be asked. After a round of messages
    that brought nothing, the next one waits for a pause that doubles, and once
    the pause is long, calls are refused without waiting.
    """

    def __init__(self, now: float) -> None:
        self.leases: dict[int, ShareLease] = {}
        self.demand = DemandMeter(now)
        self.waiting = 0
        self.is_missed = False
        self.wake = trio.Event()
        self.arrived = trio.Event()
        self.pause = FIRST_PAUSE_SECONDS
        self.dry_until = 0.0
        self.ahead_at = 0.0
        self.ahead_pause = AHEAD_SECONDS

    def refill(self, now: float, organisation: Organisation) -> float:
        """Return the tokens there are; drop leases that lapsed."""
        tokens = 0.0
        for share, lease in list(self.leases.items()):
            if lease.is_live(now):
                lease.share.refill(now, organisation)
                tokens += lease.share.tokens
            else:
                self.leases.pop(share)
        return tokens

    def take(self, now: float, organisation: Organisation) -> bool:
        """Take a token, from several leases if need be."""
        tokens = self.refill(now, organisation)
        if tokens < 1 - _ROUNDING:
            self.is_missed = True
            self.ask(now)
            return False
        left = 1.0
        for lease in self.leases.values():
            left -= lease.share.take_up_to(left)
        if tokens - 1 < self.low(now) or self._is_wasted():
            self.ask_ahead(now)
        return True

    def _is_wasted(self) -> bool:
        """Tell whether room for tokens is unused that others are short of."""
        return any(lease.is_wasted for lease in self.leases.values())

    def sort(self) -> None:
        """Have tokens taken first where most accrue."""
        leases = sorted(self.leases.items(), key=_rate_of, reverse=True)
        self.leases = dict(leases)

    def ask(self, now: float) -> None:
        """Have the holders asked unless a pause is under way."""
        if now >= self.dry_until:
            self.wake.set()

    def ask_ahead(self, now: float) -> None:
        """Have the holders asked before any call has to wait."""
        if now >= self.ahead_at:
            self.wake.set()

    def low(self, now: float) -> float:
        """Return the tokens below which more are asked for."""
        ample = 1 + self.demand.rate(now) * LOW_SECONDS
        return min(ample, self._room / 2) if self._room >= 1 else 0

    def goal(self, now: float) -> float:
        """Return the tokens to have after asking."""
        ample = 1 + self.demand.rate(now) * GOAL_SECONDS
        return self.waiting + min(ample, self._room)

    @property
    def _room(self) -> float:
        """How many tokens the holders would have here, as far as known."""
        if not self.leases:
            return inf
        return sum(lease.room for lease in self.leases.values())

    def steady_rate(self, now: float) -> float:
        """Return the calls a second for which tokens should accrue here.

        Tokens that accrue here for a small demand would often be lost, since
        it comes in bursts; such tokens are asked for in batches.
        """
        rate = self.demand.rate(now)
        return max(0, rate - _SPREAD * sqrt(rate))

    def least(self, now: float) -> float:
        """Return the tokens to keep when others are short."""
        is_quiet = now - self.demand.last_at > QUIET_SECONDS
        return self.goal(now) - is_quiet

    @property
    def is_dry(self) -> bool:
        """Whether waiting for tokens is without hope."""
        return self.pause > SHORT_PAUSE_SECONDS

    def note_round(self, now: float, organisation: Organisation) -> None:
        """Set the pause before the next round of messages."""
        tokens = self.refill(now, organisation)
        if tokens < self.low(now):
            longer = self.ahead_pause * _PAUSE_FACTOR
            self.ahead_pause = min(LONGEST_AHEAD_SECONDS, longer)
        else:
            self.ahead_pause = AHEAD_SECONDS
        self.ahead_at = now + self.ahead_pause
        is_short = self.is_missed and tokens < 1
        self.is_missed = False
        if not is_short:
            self.pause = FIRST_PAUSE_SECONDS
            self.dry_until = 0
            return
        self.dry_until = now + self.pause
        self.pause = min(LONGEST_PAUSE_SECONDS, self.pause * _PAUSE_FACTOR)

    def tell_arrived(self) -> None:
        """Let waiting calls try again."""
        self.arrived.set()
        self.arrived = trio.Event()


def _rate_of(entry: tuple[int, ShareLease]) -> float:
    return entry[1].share.rate
