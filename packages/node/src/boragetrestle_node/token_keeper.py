"""Ask share holders for one organisation's tokens before calls need them."""

import trio
import xxhash

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.local_tokens import LocalTokens
from boragetrestle_node.share_asker import NO_LEASE, ShareAsker, WantedLease
from boragetrestle_node.share_lease import ShareLease
from boragetrestle_node.share_terms import ShareTerms

IDLE_STOP_SECONDS = 10.0
ROUND_INTERVAL_SECONDS = 0.5
HEDGE_SECONDS = 0.03
EXCESS_FACTOR = 2.0


class TokenKeeper:
    """Ask for rate and tokens in the background, while there is demand.

    Each node asks the holders of shares in an order of its own, so that nodes
    spread over the holders; a node with little demand asks one of them only. A
    holder that is slow to answer does not delay asking the next one.
    """

    def __init__(
        self,
        local: LocalTokens,
        asker: ShareAsker,
        *,
        terms: ShareTerms,
        state: FleetState,
    ) -> None:
        self.local = local
        self.asker = asker
        self.terms = terms
        self.state = state
        self.recall_limits: dict[int, float] = {}
        self.asked_shares: set[int] = set()
        seed = f'{asker.address} {asker.organisation}'
        home = xxhash.xxh32_intdigest(seed.encode())
        self.order = [
            (home + place) % terms.shares for place in range(terms.shares)
        ]

    async def run(self) -> None:
        """Ask for tokens until there has been no demand for a while."""
        async with trio.open_nursery() as nursery:
            while self._is_needed:
                await self._wait_for_wake()
                known = self.state.organisations.get(self.asker.organisation)
                if known is None or not self._is_needed:
                    await self.return_leases()
                else:
                    await self._ask_holders(known, nursery)

    @property
    def _is_needed(self) -> bool:
        idle = trio.current_time() - self.local.demand.last_at
        return self.local.waiting > 0 or idle <= IDLE_STOP_SECONDS

    async def return_leases(self) -> None:
        """Return all leases to the holders of their shares."""
        organisation = self.state.organisations.get(self.asker.organisation)
        if organisation is None:
            self.local.leases.clear()
            return
        for share in list(self.local.leases):
            await self.asker.exchange(share, self.local, organisation, NO_LEASE)

    def recall(self, share: int, rate: float) -> None:
        """Have the next round lower a lease to ``rate`` and return the rest."""
        self.recall_limits[share] = rate
        self.local.wake.set()

    async def _wait_for_wake(self) -> None:
        with trio.move_on_after(ROUND_INTERVAL_SECONDS):
            await self.local.wake.wait()
        self.local.wake = trio.Event()

    async def _ask_holders(
        self,
        organisation: Organisation,
        nursery: trio.Nursery,
    ) -> None:
        local = self.local
        now = trio.current_time()
        wanted_rate = local.steady_rate(now) / organisation.rate
        allowed = local.tokens_to_keep(now)
        for share in tuple(self.order):
            is_recalled = share in self.recall_limits
            limit = self.recall_limits.pop(share, self.terms.fraction)
            rate = min(wanted_rate, limit)
            missing = self._missing_tokens(organisation)
            if self._should_ask(share, rate, missing, is_recalled=is_recalled):
                want = WantedLease(
                    rate=rate,
                    tokens=missing,
                    max_tokens=allowed,
                )
                done = trio.Event()
                nursery.start_soon(
                    self._exchange,
                    share,
                    organisation,
                    want,
                    done,
                )
                with trio.move_on_after(HEDGE_SECONDS):
                    await done.wait()
            wanted_rate = max(0, wanted_rate - self._rate_of(share))
            allowed = max(0, allowed - self._tokens_of(share))
        local.plan_next_round(trio.current_time(), organisation)

    async def _exchange(
        self,
        share: int,
        organisation: Organisation,
        want: WantedLease,
        done: trio.Event,
    ) -> None:
        self.asked_shares.add(share)
        try:
            await self.asker.exchange(share, self.local, organisation, want)
        finally:
            self.asked_shares.discard(share)
            done.set()
        lease = self.local.leases.get(share)
        if want.tokens and lease is not None and lease.share.tokens >= 1:
            self._ask_first(share)
        self.local.notify_waiting()

    def _ask_first(self, share: int) -> None:
        """Ask the holder of this share first from now on."""
        self.order.remove(share)
        self.order.insert(0, share)

    def _missing_tokens(self, organisation: Organisation) -> float:
        """Return how many tokens to ask for; zero while there are enough."""
        now = trio.current_time()
        tokens = self.local.refill(now, organisation)
        if tokens >= max(
            self.local.low_tokens(now), min(1, self.local.waiting)
        ):
            return 0
        return self.local.goal_tokens(now) - tokens

    def _should_ask(
        self,
        share: int,
        rate: float,
        missing: float,
        *,
        is_recalled: bool,
    ) -> bool:
        """Tell whether the holder of a share should be asked now."""
        now = trio.current_time()
        if share in self.asked_shares or self.asker.is_avoided(share, now):
            return False
        lease = self.local.leases.get(share)
        if missing > 0 or (lease is not None and is_recalled):
            return True
        if lease is None:
            return share == self.order[0] and rate > 0
        is_due = now >= lease.ask_at or lease.has_unused_burst
        return is_due or self._is_excessive(lease, rate, now)

    def _is_excessive(
        self,
        lease: ShareLease,
        rate: float,
        now: float,
    ) -> bool:
        """Tell whether a lease has far more than the recent demand needs."""
        max_tokens = EXCESS_FACTOR * self.local.goal_tokens(now)
        tokens = sum(self._tokens_of(share) for share in self.order)
        return lease.share.rate > EXCESS_FACTOR * rate or tokens > max_tokens

    def _rate_of(self, share: int) -> float:
        lease = self.local.leases.get(share)
        return lease.share.rate if lease is not None else 0

    def _tokens_of(self, share: int) -> float:
        lease = self.local.leases.get(share)
        return lease.share.tokens if lease is not None else 0
