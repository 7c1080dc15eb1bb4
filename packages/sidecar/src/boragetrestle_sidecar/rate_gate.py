"""Take tokens for requests, from this node's part or from other nodes."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from boragetrestle_sidecar.peer_frames import FrameKind
from boragetrestle_sidecar.rate_shares import DRY_SECONDS, RateShares
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.window_count import WindowCount

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.peer_link import PeerLink

MAX_ASKED = 4  # nodes, one after the other: some have no tokens
ANSWER_SECONDS = 0.02  # some round trips between domains
DEMAND_SECONDS = 2.0  # of requests, from which the coming ones are expected
# Tokens for this much of the expected requests are asked for in advance; those
# that are not used in time are lost.
ADVANCE_SECONDS = 0.2
RETRY_SPREAD = (0.5, 1.5)  # so that callers don't come back together


@dataclass(slots=True, eq=False)
class _Round:
    """Requests that wait for tokens of one organisation."""

    policy: 'OrganisationPolicy'
    others: list[str]
    waiting: list[Callable[[], None]] = field(default_factory=list)
    asked: int = 0
    got: float = 0.0
    timer: asyncio.TimerHandle | None = None


class RateGate:
    """Keep rates; ask nodes that hold parts when this node has no token."""

    def __init__(
        self,
        shares: RateShares,
        *,
        link_of: 'Callable[[str], PeerLink | None]',
        chance: random.Random,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.shares = shares
        self.link_of = link_of
        self.chance = chance
        self.clock = clock
        self.configuration: Configuration | None = None
        self.rounds: dict[str, _Round] = {}
        self.demand: defaultdict[str, WindowCount] = defaultdict(
            lambda: WindowCount(DEMAND_SECONDS),
        )

    def take(self, policy: 'OrganisationPolicy') -> bool:
        """Take one token."""
        return self.shares.take(policy, self.clock())

    def refill(self) -> None:
        """Let all parts accrue tokens, also those that no one asked for."""
        if self.configuration is not None:
            policies = self.configuration.organisations.values()
            self.shares.refill(policies, self.clock())

    def retry_after(self, policy: 'OrganisationPolicy') -> float:
        """Return when a refused caller may come back, in seconds."""
        spread = self.chance.uniform(*RETRY_SPREAD)
        return self.shares.retry_after(policy) * spread

    def ask(
        self,
        policy: 'OrganisationPolicy',
        then: Callable[[], None],
    ) -> None:
        """Ask other nodes for tokens and go on when they have answered."""
        name = policy.terms.name
        now = self.clock()
        self.demand[name].add(1, now=now)
        ongoing = self.rounds.get(name)
        if ongoing is not None:
            ongoing.waiting.append(then)
            return
        if now < self.shares.dry_until.get(name, 0.0):
            then()
            return
        others = list(self.shares.others(policy))
        self.chance.shuffle(others)
        asked = _Round(policy, others, [then])
        self.rounds[name] = asked
        self._ask_next(asked)

    def grant(self, name: str, asked: float) -> float:
        """Return the tokens that another node gets."""
        if self.configuration is None:
            return 0.0
        policy = self.configuration.organisations.get(name)
        if policy is None:
            return 0.0
        return self.shares.grant(policy, asked, self.clock())

    def granted(self, name: str, tokens: float, number: int) -> None:
        """Take the answer of a node that was asked."""
        if tokens > 0:
            self.shares.add(name, tokens, self.clock())
        ongoing = self.rounds.get(name)
        if ongoing is None:
            return
        ongoing.got += tokens
        served = ongoing.waiting[: int(tokens)]
        ongoing.waiting = ongoing.waiting[int(tokens) :]
        for then in served:
            then()
        if not ongoing.waiting:
            self._end(ongoing)
        elif number == ongoing.asked:
            self._ask_next(ongoing)

    def _ask_next(self, asked: _Round) -> None:
        if asked.timer is not None:
            asked.timer.cancel()
        name = asked.policy.terms.name
        expected = self.demand[name].total(self.clock()) / DEMAND_SECONDS
        wanted = len(asked.waiting) + int(expected * ADVANCE_SECONDS)
        while asked.others and asked.asked < MAX_ASKED:
            link = self.link_of(asked.others.pop())
            fields = [name, wanted]
            number = asked.asked + 1
            if link and link.send(FrameKind.ASK_TOKENS, number, fields):
                asked.asked = number
                asked.timer = asyncio.get_running_loop().call_later(
                    ANSWER_SECONDS,
                    self._ask_next,
                    asked,
                )
                return
        self._end(asked)

    def _end(self, ended: _Round) -> None:
        name = ended.policy.terms.name
        if self.rounds.get(name) is not ended:
            return
        del self.rounds[name]
        if ended.timer is not None:
            ended.timer.cancel()
        if not ended.got:
            self.shares.dry_until[name] = self.clock() + DRY_SECONDS
        for then in ended.waiting:
            then()
