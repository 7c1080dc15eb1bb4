"""Keep one organisation's tokens at this node ahead of its demand."""

import trio
import xxhash

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.local_tokens import LocalTokens
from boragetrestle_node.share_asker import NOTHING, ShareAsker, Want
from boragetrestle_node.share_lease import ShareLease
from boragetrestle_node.share_terms import ShareTerms

IDLE_SECONDS = 10.0
TICK_SECONDS = 0.5
HEDGE_SECONDS = 0.03
TOO_MUCH = 2.0


class TokenKeeper:
    """Ask for rate and tokens in the background, while there is demand.

    The shares are asked in an order of this node's own, so that nodes spread
    over the holders; a node with little demand talks to one of them only. A
    holder that takes long to answer does not keep the others from being asked.
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
        self.limits: dict[int, float] = {}
        self.busy: set[int] = set()
        seed = f'{asker.address} {asker.organisation}'
        home = xxhash.xxh32_intdigest(seed.encode())
        self.order = [
            (home + place) % terms.shares for place in range(terms.shares)
        ]

    async def run(self) -> None:
        """Ask for tokens until there has been no demand for a while."""
        async with trio.open_nursery() as nursery:
            while self._is_needed:
                await self._wait()
                known = self.state.organisations.get(self.asker.organisation)
                if known is None or not self._is_needed:
                    await self.give_up()
                else:
                    await self._round(known, nursery)

    @property
    def _is_needed(self) -> bool:
        idle = trio.current_time() - self.local.demand.last_at
        return self.local.waiting > 0 or idle <= IDLE_SECONDS

    async def give_up(self) -> None:
        """Return all leases."""
        organisation = self.state.organisations.get(self.asker.organisation)
        if organisation is None:
            self.local.leases.clear()
            return
        for share in list(self.local.leases):
            await self.asker.exchange(share, self.local, organisation, NOTHING)

    def recall(self, share: int, rate: float) -> None:
        """Cut a lease down to a fraction of the rate, and return the rest."""
        self.limits[share] = rate
        self.local.wake.set()

    async def _wait(self) -> None:
        with trio.move_on_after(TICK_SECONDS):
            await self.local.wake.wait()
        self.local.wake = trio.Event()

    async def _round(
        self,
        organisation: Organisation,
        nursery: trio.Nursery,
    ) -> None:
        local = self.local
        now = trio.current_time()
        wanted_rate = local.steady_rate(now) / organisation.rate
        allowed = local.least(now)
        for share in tuple(self.order):
            is_recalled = share in self.limits
            limit = self.limits.pop(share, self.terms.fraction)
            rate = min(wanted_rate, limit)
            missing = self._missing(organisation)
            if self._wants(share, rate, missing, is_recalled=is_recalled):
                want = Want(
                    rate=rate,
                    tokens=missing,
                    most=allowed,
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
        local.note_round(trio.current_time(), organisation)

    async def _exchange(
        self,
        share: int,
        organisation: Organisation,
        want: Want,
        done: trio.Event,
    ) -> None:
        self.busy.add(share)
        try:
            await self.asker.exchange(share, self.local, organisation, want)
        finally:
            self.busy.discard(share)
            done.set()
        lease = self.local.leases.get(share)
        if want.tokens and lease is not None and lease.share.tokens >= 1:
            self._prefer(share)
        self.local.tell_arrived()

    def _prefer(self, share: int) -> None:
        """Ask the holder that had tokens first from now on."""
        self.order.remove(share)
        self.order.insert(0, share)

    def _missing(self, organisation: Organisation) -> float:
        """Return the tokens that this node should have and has not."""
        now = trio.current_time()
        tokens = self.local.refill(now, organisation)
        if tokens >= max(self.local.low(now), min(1, self.local.waiting)):
            return 0
        return self.local.goal(now) - tokens

    def _wants(
        self,
        share: int,
        rate: float,
        missing: float,
        *,
        is_recalled: bool,
    ) -> bool:
        """Tell whether the holder of a share should be asked now."""
        now = trio.current_time()
        if share in self.busy or self.asker.is_avoided(share, now):
            return False
        lease = self.local.leases.get(share)
        if missing > 0 or (lease is not None and is_recalled):
            return True
        if lease is None:
            return share == self.order[0] and rate > 0
        is_due = now >= lease.ask_at or lease.is_wasted
        return is_due or self._has_too_much(lease, rate, now)

    def _has_too_much(
        self,
        lease: ShareLease,
        rate: float,
        now: float,
    ) -> bool:
        """Tell whether a lease has far more than the demand of late needs."""
        most = TOO_MUCH * self.local.goal(now)
        tokens = sum(self._tokens_of(share) for share in self.order)
        return lease.share.rate > TOO_MUCH * rate or tokens > most

    def _rate_of(self, share: int) -> float:
        lease = self.local.leases.get(share)
        return lease.share.rate if lease is not None else 0

    def _tokens_of(self, share: int) -> float:
        lease = self.local.leases.get(share)
        return lease.share.tokens if lease is not None else 0
