"""Ask the holders of an organisation's shares for leases."""

from collections.abc import Awaitable, Callable, Iterator
from typing import NamedTuple

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.local_tokens import LocalTokens
from boragetrestle_node.share_lease import LeaseView, ShareLease
from boragetrestle_node.share_messages import ShareAsk, ShareGrant
from boragetrestle_node.share_placement import SharePlacement
from boragetrestle_node.share_terms import ShareTerms
from boragetrestle_node.token_share import TokenShare

RANK_COUNT = 3
AVOID_SECONDS = 1.0
MIN_BURST_SECONDS = 0.35

AskHolder = Callable[[Address, ShareAsk], Awaitable[ShareGrant | None]]


class WantedLease(NamedTuple):
    """Say what a lease should have after its holder is asked.

    ``rate`` is a fraction of the organisation's rate, ``tokens`` are to be
    added and ``max_tokens`` is how many the lease may keep.
    """

    rate: float
    tokens: float
    max_tokens: float


NO_LEASE = WantedLease(0, 0, 0)


class ShareAsker:
    """Find the holders of shares and exchange messages with them.

    ``session`` names this process, and ``numbers`` grow over all its messages.
    A grant that comes after the timeout is never added; the next message tells
    the holder what the lease has without it.
    """

    def __init__(
        self,
        organisation: str,
        *,
        terms: ShareTerms,
        placement: SharePlacement,
        session: str,
        address: str,
        numbers: Iterator[int],
        ask: AskHolder,
    ) -> None:
        self.organisation = organisation
        self.terms = terms
        self.placement = placement
        self.session = session
        self.address = address
        self.ask = ask
        self.numbers = numbers
        self.holders: dict[int, Address] = {}
        self.ranks: dict[int, int] = {}
        self.avoid_until: dict[int, float] = {}

    def is_avoided(self, share: int, now: float) -> bool:
        """Tell whether the last attempt to ask a share's holder failed."""
        return now < self.avoid_until.get(share, 0)

    async def exchange(
        self,
        share: int,
        local: LocalTokens,
        organisation: Organisation,
        want: WantedLease,
    ) -> None:
        """Ask for what ``want`` lacks, and return what exceeds it.

        At most one message about a share may be under way.
        """
        asked_at = trio.current_time()
        lease = local.leases.get(share)
        room = want.rate * organisation.rate * MIN_BURST_SECONDS
        view = LeaseView()
        if lease is not None:
            kept = max(room, min(want.max_tokens, lease.share.tokens))
            view = lease.shrink(
                asked_at,
                organisation,
                rate=want.rate,
                burst=kept / organisation.burst,
            )
        wanted_burst = max(room, view.tokens + want.tokens)
        message = ShareAsk(
            organisation=self.organisation,
            share=share,
            session=self.session,
            number=next(self.numbers),
            address=self.address,
            rate=view.rate,
            burst=view.burst,
            tokens=view.tokens,
            returned=view.returned,
            wanted_rate=want.rate,
            wanted_burst=wanted_burst / organisation.burst,
            wanted_tokens=max(0, want.tokens),
            urgent=max(0, local.waiting - local.refill(asked_at, organisation)),
            demand=local.demand.rate(asked_at),
        )
        grant = await self._send(share, message)
        if message.is_return:
            local.leases.pop(share, None)
        elif grant is not None and grant.validity:
            _add_grant(local, share, grant, organisation, asked_at)

    async def _send(self, share: int, message: ShareAsk) -> ShareGrant | None:
        address = self._address(share)
        if address is None:
            return None
        grant = await self.ask(address, message)
        if grant is None:
            self._avoid_holder(share)
            return None
        if grant.holder and grant.holder != str(address):
            self.holders[share] = Address.parse(grant.holder)
            grant = await self.ask(self.holders[share], message)
        if grant is None or not (grant.validity or message.is_return):
            self._avoid_holder(share)
        else:
            self.holders.setdefault(share, address)
        return grant

    def _address(self, share: int) -> Address | None:
        known = self.holders.get(share)
        if known is not None:
            return known
        rank = self.ranks.get(share, 0)
        return self.placement.address(self.organisation, share, rank=rank)

    def _avoid_holder(self, share: int) -> None:
        """Forget a share's holder; after a pause, ask the next rank's node."""
        self.holders.pop(share, None)
        self.ranks[share] = (self.ranks.get(share, 0) + 1) % RANK_COUNT
        self.avoid_until[share] = trio.current_time() + AVOID_SECONDS


def _add_grant(
    local: LocalTokens,
    share: int,
    grant: ShareGrant,
    organisation: Organisation,
    asked_at: float,
) -> None:
    """Add a grant to the lease of its share; start the lease if it is new."""
    now = trio.current_time()
    lease = local.leases.get(share)
    if grant.is_fresh:
        part = TokenShare(rate=0, burst=0, tokens=0, now=now)
        lease = ShareLease(part)
        local.leases[share] = lease
    elif lease is None or not lease.is_live(now):
        return
    lease.add(grant, now, organisation, asked_at=asked_at)
    local.sort_leases()
