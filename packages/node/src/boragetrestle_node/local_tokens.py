"""Keep the tokens of one organisation at this node."""

from math import inf, sqrt

import trio

from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.demand_meter import DemandMeter
from boragetrestle_node.share_lease import ShareLease

LOW_TOKENS_SECONDS = 0.25
GOAL_TOKENS_SECONDS = 0.7
NO_DEMAND_SECONDS = 1.0
EARLY_ASK_SECONDS = 0.1
MAX_EARLY_ASK_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 0.03
MAX_PAUSE_SECONDS = 0.5
EXHAUSTED_PAUSE_SECONDS = 0.3

_PAUSE_FACTOR = 1.5
_BURST_DEVIATIONS = 4.0
_ROUNDING = 1e-9


class LocalTokens:
    """Hold leases of shares and count the calls that wait for tokens.

    ``wake`` is set to have the token keeper ask the holders of shares. After a
    round of messages that left calls short of tokens, the next one waits for a
    pause that grows each time; once the pause is long, calls are refused
    without waiting.
    """

    def __init__(self, now: float) -> None:
        self.leases: dict[int, ShareLease] = {}
        self.demand = DemandMeter(now)
        self.waiting = 0
        self.had_shortage = False
        self.wake = trio.Event()
        self.arrived = trio.Event()
        self.pause = FIRST_PAUSE_SECONDS
        self.pause_until = 0.0
        self.early_ask_at = 0.0
        self.early_ask_pause = EARLY_ASK_SECONDS

    def refill(self, now: float, organisation: Organisation) -> float:
        """Accrue and count the tokens; drop leases that lapsed."""
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
            self.had_shortage = True
            self.wake_keeper(now)
            return False
        left = 1.0
        for lease in self.leases.values():
            left -= lease.share.take_up_to(left)
        if tokens - 1 < self.low_tokens(now) or self._has_unused_burst():
            self.wake_keeper_early(now)
        return True

    def _has_unused_burst(self) -> bool:
        """Tell whether a lease has burst without tokens while it is scarce."""
        return any(lease.has_unused_burst for lease in self.leases.values())

    def sort_leases(self) -> None:
        """Order the leases so that those with the highest rate come first."""
        leases = sorted(self.leases.items(), key=_rate_of, reverse=True)
        self.leases = dict(leases)

    def wake_keeper(self, now: float) -> None:
        """Wake the keeper unless it pauses after a round without success."""
        if now >= self.pause_until:
            self.wake.set()

    def wake_keeper_early(self, now: float) -> None:
        """Wake the keeper before a call has to wait, but not too often."""
        if now >= self.early_ask_at:
            self.wake.set()

    def low_tokens(self, now: float) -> float:
        """Return the tokens below which more are asked for."""
        demand_tokens = 1 + self.demand.rate(now) * LOW_TOKENS_SECONDS
        return min(demand_tokens, self._room / 2) if self._room >= 1 else 0

    def goal_tokens(self, now: float) -> float:
        """Return the tokens that this node should have after a round."""
        demand_tokens = 1 + self.demand.rate(now) * GOAL_TOKENS_SECONDS
        return self.waiting + min(demand_tokens, self._room)

    @property
    def _room(self) -> float:
        """How many tokens the holders allow here; infinite without leases."""
        if not self.leases:
            return inf
        return sum(lease.room for lease in self.leases.values())

    def steady_rate(self, now: float) -> float:
        """Return the calls a second for which tokens should accrue here.

        A small demand comes in bursts, and tokens that accrue for it here would
        often exceed the burst and be lost; they are asked for in batches.
        """
        rate = self.demand.rate(now)
        return max(0, rate - _BURST_DEVIATIONS * sqrt(rate))

    def tokens_to_keep(self, now: float) -> float:
        """Return the tokens to keep when other nodes are short of them."""
        is_quiet = now - self.demand.last_at > NO_DEMAND_SECONDS
        return self.goal_tokens(now) - is_quiet

    @property
    def is_exhausted(self) -> bool:
        """Whether rounds failed so often that calls should not wait."""
        return self.pause > EXHAUSTED_PAUSE_SECONDS

    def plan_next_round(self, now: float, organisation: Organisation) -> None:
        """Set the pauses before the next round of messages to holders."""
        tokens = self.refill(now, organisation)
        if tokens < self.low_tokens(now):
            longer = self.early_ask_pause * _PAUSE_FACTOR
            self.early_ask_pause = min(MAX_EARLY_ASK_SECONDS, longer)
        else:
            self.early_ask_pause = EARLY_ASK_SECONDS
        self.early_ask_at = now + self.early_ask_pause
        is_short = self.had_shortage and tokens < 1
        self.had_shortage = False
        if not is_short:
            self.pause = FIRST_PAUSE_SECONDS
            self.pause_until = 0
            return
        self.pause_until = now + self.pause
        self.pause = min(MAX_PAUSE_SECONDS, self.pause * _PAUSE_FACTOR)

    def notify_waiting(self) -> None:
        """Wake waiting calls, which then try to take a token."""
        self.arrived.set()
        self.arrived = trio.Event()


def _rate_of(entry: tuple[int, ShareLease]) -> float:
    return entry[1].share.rate
