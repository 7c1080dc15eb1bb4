"""Take rate limit tokens from this node's shares or from other nodes."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from boragetrestle_sidecar.peer_frames import FrameKind
from boragetrestle_sidecar.rate_shares import (
    NO_TOKENS_BACKOFF_SECONDS,
    RateShares,
)
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.window_count import SlidingWindowSum

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.peer_link import PeerLink

MAX_NODES_ASKED = 4  # one after the other, since some have no tokens
TOKEN_REPLY_TIMEOUT_SECONDS = 0.02  # a few round trips between domains
DEMAND_WINDOW_SECONDS = 2.0  # requests counted to predict their rate
# A node also asks for the tokens of the requests expected in this time. Tokens
# that aren't used before they expire are lost.
PREFETCH_SECONDS = 0.2
RETRY_JITTER_FACTORS = (0.5, 1.5)  # keeps callers from retrying together


@dataclass(slots=True, eq=False)
class _PendingTokens:
    """Requests that wait for tokens of one organisation.

    ``unasked_nodes`` hold shares of its rate and have not been asked yet.
    """

    policy: 'OrganisationPolicy'
    unasked_nodes: list[str]
    callbacks: list[Callable[[], None]] = field(default_factory=list)
    nodes_asked: int = 0
    tokens_received: float = 0.0
    timer: asyncio.TimerHandle | None = None


class RateGate:
    """Enforce the organisations' rates with tokens of this and other nodes."""

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
        self.pending_requests: dict[str, _PendingTokens] = {}
        self.demand: defaultdict[str, SlidingWindowSum] = defaultdict(
            lambda: SlidingWindowSum(DEMAND_WINDOW_SECONDS),
        )

    def take_token(self, policy: 'OrganisationPolicy') -> bool:
        """Take one token; return whether there was one."""
        return self.shares.take_token(policy, self.clock())

    def refill_shares(self) -> None:
        """Add the tokens accrued by all shares, also by unused ones."""
        if self.configuration is not None:
            policies = self.configuration.organisations.values()
            self.shares.refill_own_shares(policies, self.clock())

    def retry_after(self, policy: 'OrganisationPolicy') -> float:
        """Return the seconds after which a refused caller may retry."""
        spread = self.chance.uniform(*RETRY_JITTER_FACTORS)
        return self.shares.retry_after(policy) * spread

    def request_tokens(
        self,
        policy: 'OrganisationPolicy',
        on_decided: Callable[[], None],
    ) -> None:
        """Ask other nodes for tokens.

        ``on_decided`` is called once tokens have come or none will.
        """
        name = policy.terms.name
        now = self.clock()
        self.demand[name].add(1, now=now)
        pending = self.pending_requests.get(name)
        if pending is not None:
            pending.callbacks.append(on_decided)
            return
        if now < self.shares.no_tokens_until.get(name, 0.0):
            on_decided()
            return
        unasked_nodes = list(self.shares.other_holders(policy))
        self.chance.shuffle(unasked_nodes)
        started = _PendingTokens(policy, unasked_nodes, [on_decided])
        self.pending_requests[name] = started
        self._ask_next_node(started)

    def grant_tokens(self, name: str, asked: float) -> float:
        """Take up to ``asked`` tokens for another node; return how many."""
        if self.configuration is None:
            return 0.0
        policy = self.configuration.organisations.get(name)
        if policy is None:
            return 0.0
        return self.shares.grant_tokens(policy, asked, self.clock())

    def receive_tokens(self, name: str, tokens: float, number: int) -> None:
        """Store tokens from another node and serve waiting requests.

        ``number`` is the number under which the replying node was asked.
        """
        if tokens > 0:
            self.shares.add_granted_tokens(name, tokens, self.clock())
        pending = self.pending_requests.get(name)
        if pending is None:
            return
        pending.tokens_received += tokens
        ready = pending.callbacks[: int(tokens)]
        pending.callbacks = pending.callbacks[int(tokens) :]
        for on_decided in ready:
            on_decided()
        if not pending.callbacks:
            self._finish(pending)
        elif number == pending.nodes_asked:
            self._ask_next_node(pending)

    def _ask_next_node(self, pending: _PendingTokens) -> None:
        try:
            self._ask_or_finish(pending)
        except Exception:
            self._finish(pending)  # later requests would wait behind these
            raise

    def _ask_or_finish(self, pending: _PendingTokens) -> None:
        if pending.timer is not None:
            pending.timer.cancel()
        name = pending.policy.terms.name
        requests_per_second = (
            self.demand[name].total(self.clock()) / DEMAND_WINDOW_SECONDS
        )
        wanted = len(pending.callbacks) + int(
            requests_per_second * PREFETCH_SECONDS
        )
        while pending.unasked_nodes and pending.nodes_asked < MAX_NODES_ASKED:
            link = self.link_of(pending.unasked_nodes.pop())
            fields = [name, wanted]
            number = pending.nodes_asked + 1
            if link and link.send(FrameKind.ASK_TOKENS, number, fields):
                pending.nodes_asked = number
                pending.timer = asyncio.get_running_loop().call_later(
                    TOKEN_REPLY_TIMEOUT_SECONDS,
                    self._ask_next_node,
                    pending,
                )
                return
        self._finish(pending)

    def _finish(self, finished: _PendingTokens) -> None:
        name = finished.policy.terms.name
        if self.pending_requests.get(name) is not finished:
            return
        del self.pending_requests[name]
        if finished.timer is not None:
            finished.timer.cancel()
        if not finished.tokens_received:
            self.shares.no_tokens_until[name] = (
                self.clock() + NO_TOKENS_BACKOFF_SECONDS
            )
        for on_decided in finished.callbacks:
            on_decided()
