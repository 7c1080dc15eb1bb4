"""Keep organisations within their rates over all nodes.

A few nodes hold equal parts of each rate and burst, and hand tokens to a node
that asks. Tokens are taken from one part before they are sent, so that a lost
message loses tokens and never makes any. A fresh process starts without tokens,
since it can't know what its predecessor spent.
"""

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

import xxhash
from msgspec.structs import replace

from boragetrestle_node.token_share import TokenShare

if TYPE_CHECKING:
    from boragetrestle_kernel.service_text import Organisation
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy

# Tokens of burst in each part: fewer would often leave a part without a whole
# token although the organisation is within its rate.
BURST_PER_PART = 4.0
# A holder that is cut off takes its part with it; the smallest organisations
# would otherwise have a single one.
LEAST_HOLDERS = 3
# Tokens of burst for the smallest organisations, two in each part: parts below
# one token never let a request pass. Taken from what operators tolerate.
LEAST_BURST = 6.0
BURST_SLACK_SHARE = 0.3  # of what operators tolerate over a rate in a window
GRANTED_SHARE = 0.5  # of the tokens at hand, given to a node that asks
# Granted tokens lapse, so that those in the hands of all nodes stay few beside
# what the rate allows in a window.
GRANT_SECONDS = 0.5
TOKENS_AWAITED = 5.0  # so many come free before a caller is asked back
LEAST_RETRY_SECONDS = 0.1  # some round trips of a caller
DRY_SECONDS = 0.1  # holders that had no tokens aren't asked again sooner


def holders_of(
    policy: 'OrganisationPolicy',
    nodes: Sequence[str],
) -> tuple[str, ...]:
    """Return the nodes that hold parts of an organisation's rate.

    All nodes that see the same nodes get the same holders.
    """
    terms = policy.terms
    wanted = max(LEAST_HOLDERS, int(terms.burst / BURST_PER_PART))
    count = max(1, min(len(nodes), wanted))
    ranked = sorted(
        nodes,
        key=lambda node: xxhash.xxh64_intdigest(
            f'{terms.name} {node}'.encode()
        ),
    )
    return tuple(ranked[:count])


class RateShares:
    """The parts of all rates that this node holds, and granted tokens.

    ``slack`` is how many requests over a rate operators tolerate in a window.
    """

    def __init__(self, node: str, *, slack: float = 0.0) -> None:
        self.node = node
        self.least_burst = min(LEAST_BURST, slack * BURST_SLACK_SHARE)
        self.nodes: tuple[str, ...] = (node,)
        self.is_known = False
        self.is_leaving = False
        self.shares: dict[str, TokenShare] = {}
        self.granted: dict[str, tuple[float, float]] = {}
        self.holders: dict[str, tuple[str, ...]] = {}
        self.dry_until: dict[str, float] = {}

    def resize(self, nodes: Sequence[str]) -> None:
        """Take the nodes among which rates are divided."""
        self.nodes = tuple(sorted({*nodes, self.node}))
        self.is_known = not self.is_leaving
        self.holders.clear()

    def refill(
        self,
        policies: 'Iterable[OrganisationPolicy]',
        now: float,
    ) -> None:
        """Let the parts that this node holds accrue tokens."""
        for policy in policies:
            if policy.is_limited:
                self._refill(policy, now)

    def surrender(self) -> None:
        """Give up this node's parts before it leaves.

        The other nodes divide the rates among themselves from then on.
        """
        self.is_known = False
        self.is_leaving = True
        self.shares.clear()

    def take(self, policy: 'OrganisationPolicy', now: float) -> bool:
        """Take one token."""
        if not policy.is_limited:
            return True
        name = policy.terms.name
        tokens, until = self.granted.get(name, (0.0, 0.0))
        if tokens >= 1 and now < until:
            self.granted[name] = (tokens - 1, until)
            return True
        share = self._refill(policy, now)
        if share is None or share.tokens < 1:
            return False
        share.tokens -= 1
        return True

    def grant(
        self,
        policy: 'OrganisationPolicy',
        asked: float,
        now: float,
    ) -> float:
        """Take tokens for a node that asks; return how many."""
        share = self._refill(policy, now)
        if share is None:
            return 0.0
        offered = max(1, round(share.tokens * GRANTED_SHARE))
        granted = min(float(offered), asked)
        if share.tokens < granted:
            return 0.0
        share.tokens -= granted
        return granted

    def add(self, name: str, tokens: float, now: float) -> None:
        """Keep tokens that another node took from its part."""
        known, until = self.granted.get(name, (0.0, 0.0))
        if now >= until:
            known = 0.0
        self.granted[name] = (known + tokens, now + GRANT_SECONDS)

    def others(self, policy: 'OrganisationPolicy') -> tuple[str, ...]:
        """Return the other nodes that hold parts."""
        return tuple(
            node for node in self._holders(policy) if node != self.node
        )

    def retry_after(self, policy: 'OrganisationPolicy') -> float:
        """Return the seconds in which the whole rate gives a few tokens."""
        rate = max(policy.terms.rate, TOKENS_AWAITED)
        return max(LEAST_RETRY_SECONDS, TOKENS_AWAITED / rate)

    def _refill(
        self,
        policy: 'OrganisationPolicy',
        now: float,
    ) -> TokenShare | None:
        holders = self._holders(policy)
        if not self.is_known or self.node not in holders:
            self.shares.pop(policy.terms.name, None)
            return None
        fraction = 1.0 / len(holders)
        share = self.shares.get(policy.terms.name)
        if share is None:
            share = TokenShare(rate=fraction, burst=fraction, tokens=0, now=now)
            self.shares[policy.terms.name] = share
        terms = self._terms(policy)
        share.rate = min(share.rate, fraction)
        share.refill(now, terms)
        share.rate = fraction
        share.burst = fraction
        share.clip(terms)
        return share

    def _terms(self, policy: 'OrganisationPolicy') -> 'Organisation':
        """Return the terms with a burst of some whole tokens."""
        terms = policy.terms
        if terms.burst >= self.least_burst:
            return terms
        return replace(terms, burst=self.least_burst)

    def _holders(self, policy: 'OrganisationPolicy') -> tuple[str, ...]:
        name = policy.terms.name
        holders = self.holders.get(name)
        if holders is None:
            holders = holders_of(policy, self.nodes)
            self.holders[name] = holders
        return holders
