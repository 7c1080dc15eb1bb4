"""Keep organisations within their rates over all nodes.

A few nodes, the holders, have equal shares of each rate and burst and grant
tokens to nodes that ask. Tokens leave a share before they are sent, so that a
lost message loses tokens and never creates any. A new process starts without
tokens, since it can't know what its predecessor spent.
"""

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

import xxhash
from msgspec.structs import replace

from boragetrestle_node.token_share import TokenShare

if TYPE_CHECKING:
    from boragetrestle_kernel.service_text import Organisation
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy

# Fewer would often leave a share without a whole token although the
# organisation is within its rate.
BURST_TOKENS_PER_HOLDER = 4.0
# A holder that is cut off makes its share unavailable, and the smallest
# organisations would otherwise have a single holder.
MIN_HOLDERS = 3
# Nodes among which the holders of all organisations are chosen. Entries have
# links to the holders that they ask, so these must be few in a large fleet.
MIN_POOL_NODES = 16
NODES_PER_POOL_NODE = 16
# The burst of the smallest organisations, two tokens in each share: a share
# below one token never admits a request. The excess over the organisation's
# own burst counts against the requests over a rate that operators tolerate.
MIN_BURST_TOKENS = 6.0
# Of the requests over a rate that operators tolerate in a window.
MIN_BURST_SLACK_FRACTION = 0.3
GRANT_FRACTION = 0.5  # of the tokens available, for one node that asks
# Granted tokens expire, so that those held by all nodes stay few compared with
# what the rate allows in a window.
GRANT_LIFETIME_SECONDS = 0.5
RETRY_AFTER_TOKENS = 5.0  # accrued before a refused caller retries
MIN_RETRY_AFTER_SECONDS = 0.1  # a few round trips of a caller
NO_TOKENS_BACKOFF_SECONDS = 0.1  # before asking the holders again


def select_pool(nodes: Sequence[str]) -> tuple[str, ...]:
    """Choose the nodes that hold shares of any rate.

    >>> len(select_pool([f'n-{number}' for number in range(200)]))
    16
    """
    count = max(MIN_POOL_NODES, len(nodes) // NODES_PER_POOL_NODE)
    ranked = sorted(
        nodes, key=lambda node: xxhash.xxh64_intdigest(f'pool {node}'.encode())
    )
    return tuple(ranked[:count])


def select_holders(
    policy: 'OrganisationPolicy',
    pool: Sequence[str],
) -> tuple[str, ...]:
    """Choose the nodes of a pool that hold shares of an organisation's rate.

    Nodes that know the same nodes choose the same holders.
    """
    terms = policy.terms
    wanted = max(MIN_HOLDERS, int(terms.burst / BURST_TOKENS_PER_HOLDER))
    count = max(1, min(len(pool), wanted))
    ranked = sorted(
        pool,
        key=lambda node: xxhash.xxh64_intdigest(
            f'{terms.name} {node}'.encode()
        ),
    )
    return tuple(ranked[:count])


class RateShares:
    """The shares of rates that this node holds, and tokens granted to it.

    ``slack`` is how many requests over a rate operators tolerate in a window.
    """

    def __init__(self, node: str, *, slack: float = 0.0) -> None:
        self.node = node
        self.min_burst = min(MIN_BURST_TOKENS, slack * MIN_BURST_SLACK_FRACTION)
        self.pool: tuple[str, ...] = (node,)
        self.knows_nodes = False
        self.is_leaving = False
        self.shares: dict[str, TokenShare] = {}
        self.granted_tokens: dict[str, tuple[float, float]] = {}
        self.holders: dict[tuple[str, float], tuple[str, ...]] = {}
        self.no_tokens_until: dict[str, float] = {}

    def set_nodes(self, nodes: Sequence[str]) -> None:
        """Set the nodes among which rates are divided."""
        pool = select_pool(sorted({*nodes, self.node}))
        if pool != self.pool:
            self.pool = pool
            self.holders.clear()
        self.knows_nodes = not self.is_leaving

    def refill_own_shares(
        self,
        policies: 'Iterable[OrganisationPolicy]',
        now: float,
    ) -> None:
        """Add the tokens accrued by the shares that this node holds."""
        for policy in policies:
            if policy.is_limited:
                self._refill_own_share(policy, now)

    def release_shares(self) -> None:
        """Give up this node's shares before it leaves.

        The other nodes divide the rates among themselves from then on.
        """
        self.knows_nodes = False
        self.is_leaving = True
        self.shares.clear()

    def take_token(self, policy: 'OrganisationPolicy', now: float) -> bool:
        """Take one token; return whether there was one."""
        if not policy.is_limited:
            return True
        name = policy.terms.name
        tokens, until = self.granted_tokens.get(name, (0.0, 0.0))
        if tokens >= 1 and now < until:
            self.granted_tokens[name] = (tokens - 1, until)
            return True
        share = self._refill_own_share(policy, now)
        if share is None or share.tokens < 1:
            return False
        share.tokens -= 1
        return True

    def grant_tokens(
        self,
        policy: 'OrganisationPolicy',
        asked: float,
        now: float,
    ) -> float:
        """Take up to ``asked`` tokens for another node; return how many."""
        share = self._refill_own_share(policy, now)
        if share is None:
            return 0.0
        offered = max(1, round(share.tokens * GRANT_FRACTION))
        granted = min(float(offered), asked)
        if share.tokens < granted:
            return 0.0
        share.tokens -= granted
        return granted

    def add_granted_tokens(self, name: str, tokens: float, now: float) -> None:
        """Store tokens that another node granted from its share."""
        known, until = self.granted_tokens.get(name, (0.0, 0.0))
        if now >= until:
            known = 0.0
        self.granted_tokens[name] = (
            known + tokens,
            now + GRANT_LIFETIME_SECONDS,
        )

    def other_holders(self, policy: 'OrganisationPolicy') -> tuple[str, ...]:
        """Return the other nodes that hold shares."""
        return tuple(
            node for node in self._holders_for(policy) if node != self.node
        )

    def retry_after(self, policy: 'OrganisationPolicy') -> float:
        """Return the seconds in which the whole rate accrues a few tokens."""
        rate = max(policy.terms.rate, RETRY_AFTER_TOKENS)
        return max(MIN_RETRY_AFTER_SECONDS, RETRY_AFTER_TOKENS / rate)

    def _refill_own_share(
        self,
        policy: 'OrganisationPolicy',
        now: float,
    ) -> TokenShare | None:
        holders = self._holders_for(policy)
        if not self.knows_nodes or self.node not in holders:
            self.shares.pop(policy.terms.name, None)
            return None
        fraction = 1.0 / len(holders)
        share = self.shares.get(policy.terms.name)
        if share is None:
            share = TokenShare(rate=fraction, burst=fraction, tokens=0, now=now)
            self.shares[policy.terms.name] = share
        terms = self._terms_with_min_burst(policy)
        share.rate = min(share.rate, fraction)
        share.refill(now, terms)
        share.rate = fraction
        share.burst = fraction
        share.clip(terms)
        return share

    def _terms_with_min_burst(
        self, policy: 'OrganisationPolicy'
    ) -> 'Organisation':
        """Return the terms, with the burst raised to the minimum."""
        terms = policy.terms
        if terms.burst >= self.min_burst:
            return terms
        return replace(terms, burst=self.min_burst)

    def _holders_for(self, policy: 'OrganisationPolicy') -> tuple[str, ...]:
        # The number of holders follows the burst, which operators may change.
        known_as = (policy.terms.name, policy.terms.burst)
        holders = self.holders.get(known_as)
        if holders is None:
            holders = select_holders(policy, self.pool)
            self.holders[known_as] = holders
        return holders
