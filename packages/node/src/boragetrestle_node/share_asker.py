"""Ask the holders of an organisation's shares for what this node needs."""

from collections.abc import Awaitable, Callable, Iterator
from typing import NamedTuple

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.local_tokens import LocalTokens
from boragetrestle_node.share_lease import LeaseView, ShareLease
from boragetrestle_node.share_messages import ShareAsk, ShareGrant
from boragetrestle_node.share_places import SharePlaces
from boragetrestle_node.share_terms import ShareTerms
from boragetrestle_node.token_share import TokenShare

MAX_RANK = 3
AVOID_SECONDS = 1.0
ROOM_SECONDS = 0.35

AskHolder = Callable[[Address, ShareAsk], Awaitable[ShareGrant | None]]


class Want(NamedTuple):
    """What a lease should get to.

    ``rate`` is a fraction of the organisation's rate, ``tokens`` are to be
    added and ``most`` is how many it may hold.
    """

    rate: float
    tokens: float
    most: float


NOTHING = Want(0, 0, 0)


class ShareAsker:
    """Follow the holders of shares and exchange messages with them.

    ``session`` names this process, and ``numbers`` grow over all its messages.
    A grant that comes after the time to wait
    for it is never added, and the next message tells the holder so.
    """

    def __init__(
        self,
        organisation: str,
        *,
        terms: ShareTerms,
        places: SharePlaces,
        session: str,
        address: str,
        numbers: Iterator[int],
        ask: AskHolder,
    ) -> None:
        self.organisation = organisation
        self.terms = terms
        self.places = places
        self.session = session
        self.address = address
        self.ask = ask
        self.numbers = numbers
        self.holders: dict[int, Address] = {}
        self.ranks: dict[int, int] = {}
        self.avoid_until: dict[int, float] = {}

    def is_avoided(self, share: int, now: float) -> bool:
        """Tell whether the holder of a share did not answer lately."""
        return now < self.avoid_until.get(share, 0)

    async def exchange(
        self,
        share: int,
        local: LocalTokens,
        organisation: Organisation,
        want: Want,
    ) -> None:
        """Ask for what a lease wants, and return what it has beyond.

        At most one message about a share may be under way.
        """
        asked_at = trio.current_time()
        lease = local.leases.get(share)
        room = want.rate * organisation.rate * ROOM_SECONDS
        view = LeaseView()
        if lease is not None:
            kept = max(room, min(want.most, lease.share.tokens))
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
            _add(local, share, grant, organisation, asked_at)

    async def _send(self, share: int, message: ShareAsk) -> ShareGrant | None:
        address = self._address(share)
        if address is None:
            return None
        grant = await self.ask(address, message)
        if grant is None:
            self._pass_over(share)
            return None
        if grant.holder and grant.holder != str(address):
            self.holders[share] = Address.parse(grant.holder)
            grant = await self.ask(self.holders[share], message)
        if grant is None or not (grant.validity or message.is_return):
            self._pass_over(share)
        else:
            self.holders.setdefault(share, address)
        return grant

    def _address(self, share: int) -> Address | None:
        known = self.holders.get(share)
        if known is not None:
            return known
        rank = self.ranks.get(share, 0)
        return self.places.address(self.organisation, share, rank=rank)

    def _pass_over(self, share: int) -> None:
        """Ask another node next time, after a while."""
        self.holders.pop(share, None)
        self.ranks[share] = (self.ranks.get(share, 0) + 1) % MAX_RANK
        self.avoid_until[share] = trio.current_time() + AVOID_SECONDS


def _add(
    local: LocalTokens,
    share: int,
    grant: ShareGrant,
    organisation: Organisation,
    asked_at: float,
) -> None:
    """Add a grant to the lease that it belongs to."""
    now = trio.current_time()
    lease = local.leases.get(share)
    if grant.is_fresh:
        part = TokenShare(rate=0, burst=0, tokens=0, now=now)
        lease = ShareLease(part)
        local.leases[share] = lease
    elif lease is None or not lease.is_live(now):
        return
    lease.add(grant, now, organisation, asked_at=asked_at)
    local.sort()
