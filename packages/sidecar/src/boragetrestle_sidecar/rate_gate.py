"""Take tokens for requests, from this node's part or from other nodes."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from boragetrestle_sidecar.peer_frames import FrameKind
from boragetrestle_sidecar.rate_shares import DRY_SECONDS, RateShares
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.peer_link import PeerLink

ASKED_NODES = 3  # at once: one or two may have no tokens or be out of reach
ANSWER_SECONDS = 0.05  # some round trips between domains
RETRY_SPREAD = (0.5, 1.5)  # so that callers don't come back together
SPARE_TOKENS = 2.0  # asked for beyond the requests that wait


@dataclass(slots=True)
class _Round:
    """Requests that wait for tokens of one organisation."""

    policy: 'OrganisationPolicy'
    waiting: list[Callable[[], None]] = field(default_factory=list)
    answers_due: int = 0
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
        ongoing = self.rounds.get(name)
        if ongoing is not None:
            ongoing.waiting.append(then)
            return
        if self.clock() < self.shares.dry_until.get(name, 0.0):
            then()
            return
        asked = _Round(policy, [then])
        self.rounds[name] = asked
        self._send_asks(asked)
        if not asked.answers_due:
            self._end(asked)
        else:
            asked.timer = asyncio.get_running_loop().call_later(
                ANSWER_SECONDS,
                self._end,
                asked,
            )

    def grant(self, name: str, asked: float) -> float:
        """Return the tokens that another node gets."""
        if self.configuration is None:
            return 0.0
        policy = self.configuration.organisations.get(name)
        if policy is None:
            return 0.0
        return self.shares.grant(policy, asked, self.clock())

    def granted(self, name: str, tokens: float, _number: int) -> None:
        """Take the answer of a node that was asked."""
        if tokens > 0:
            self.shares.add(name, tokens, self.clock())
        ongoing = self.rounds.get(name)
        if ongoing is None:
            return
        ongoing.got += tokens
        ongoing.answers_due -= 1
        served = ongoing.waiting[: int(tokens)]
        ongoing.waiting = ongoing.waiting[int(tokens) :]
        for then in served:
            then()
        if not ongoing.waiting or ongoing.answers_due <= 0:
            self._end(ongoing)

    def _send_asks(self, asked: _Round) -> None:
        others = list(self.shares.others(asked.policy))
        self.chance.shuffle(others)
        name = asked.policy.terms.name
        for address in others:
            link = self.link_of(address)
            wanted = len(asked.waiting) + SPARE_TOKENS
            if link and link.send(FrameKind.ASK_TOKENS, 0, [name, wanted]):
                asked.answers_due += 1
            if asked.answers_due >= ASKED_NODES:
                return

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
