"""A share that this node holds and leases out."""

from dataclasses import dataclass
from typing import NamedTuple

from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.share_messages import ShareAsk, ShareGrant
from boragetrestle_node.share_terms import ShareTerms
from boragetrestle_node.token_share import TokenShare

RESERVED_RATE = 0.1
MAX_GIVEN_TOKENS = 0.5
RECALL_SECONDS = 0.1
QUIET_SECONDS = 0.2
MAX_RECALL_SECONDS = 3.0
MAX_RECALLS = 8
RESERVED_BURST = 0.4
MAX_GIVEN_BURST = 0.5
ROOM_SECONDS = 0.3
SCARCE_PART = 0.9

_SLACK = 1.1
_PAUSE_FACTOR = 2.0


@dataclass(slots=True)
class Lease:
    """What one process of a node has of a share, as the holder knows it.

    The node never has more than this. ``lapses_at`` is on the holder's clock.
    """

    address: str
    number: int
    lapses_at: float
    rate: float = 0
    burst: float = 0
    demand: float = 0
    heard_at: float = 0
    recalled_at: float = 0
    recall_pause: float = RECALL_SECONDS

    def is_recall_due(self, now: float) -> bool:
        """Tell whether to ask for what the lease does not need.

        One that was heard lately and returned nothing is asked less often.
        """
        is_quiet = now - self.heard_at > QUIET_SECONDS
        pause = RECALL_SECONDS if is_quiet else self.recall_pause
        return now >= self.recalled_at + pause


class Recall(NamedTuple):
    """A lease to cut down to a fraction of the rate."""

    address: str
    rate: float


class HeldShare:
    """Divide a share among its leases.

    What is not leased accrues here. ``valid_until`` is on this node's clock;
    ``version`` is that of the row. Each answer takes from here before the
    other node adds it, so a lost answer loses its tokens until the lease is
    asked for again or lapses.
    """

    def __init__(
        self,
        *,
        terms: ShareTerms,
        free: TokenShare,
        valid_until: float,
        version: int,
    ) -> None:
        self.terms = terms
        self.free = free
        self.valid_until = valid_until
        self.version = version
        self.leases: dict[str, Lease] = {}

    def answer(
        self,
        ask: ShareAsk,
        now: float,
        organisation: Organisation,
    ) -> ShareGrant | None:
        """Return a grant, ``None`` for a message that came late or twice."""
        self.refresh(now, organisation)
        if now >= self.valid_until or now < self.free.updated_at:
            return ShareGrant()
        lease = self.leases.get(ask.session)
        is_fresh = lease is None
        if lease is None:
            lease = Lease(ask.address, ask.number, now)
            self.leases[ask.session] = lease
        elif ask.number <= lease.number:
            return None
        else:
            self._take_back(lease, ask, organisation)
        if ask.is_return:
            self._give_up(ask.session)
            return ShareGrant()
        lease.number = ask.number
        lease.heard_at = now
        lease.demand = ask.demand
        return self._grant(lease, ask, now, organisation, is_fresh=is_fresh)

    def refresh(self, now: float, organisation: Organisation) -> None:
        """Accrue tokens, then take lapsed leases back without their tokens."""
        self.free.refill(now, organisation)
        for session, lease in list(self.leases.items()):
            if now > lease.lapses_at:
                self._free(lease.rate, lease.burst)
                self.leases.pop(session)

    def recalls(self, now: float, *, session: str) -> list[Recall]:
        """Return the leases to cut down because a session is short."""
        due = [
            lease
            for other, lease in self.leases.items()
            if other != session and lease.burst > 0 and lease.is_recall_due(now)
        ]
        due.sort(key=_burst_of, reverse=True)
        total = sum(lease.demand for lease in self.leases.values())
        chosen = []
        for lease in due[:MAX_RECALLS]:
            part = lease.demand / total if total else 0
            lease.recalled_at = now
            lease.recall_pause = min(
                MAX_RECALL_SECONDS,
                lease.recall_pause * _PAUSE_FACTOR,
            )
            chosen.append(Recall(lease.address, self._leasable * part * _SLACK))
        return chosen

    @property
    def _leasable(self) -> float:
        return self.terms.fraction * (1 - RESERVED_RATE)

    def _take_back(
        self,
        lease: Lease,
        ask: ShareAsk,
        organisation: Organisation,
    ) -> None:
        """Free what the lease no longer has, with the returned tokens."""
        rate = min(lease.rate, max(0, ask.rate))
        burst = min(lease.burst, max(0, ask.burst))
        if ask.returned >= 1:
            lease.recall_pause = RECALL_SECONDS
        self._free(lease.rate - rate, lease.burst - burst)
        lease.rate = rate
        lease.burst = burst
        self.free.tokens += max(0, ask.returned)
        self.free.clip(organisation)

    def _give_up(self, session: str) -> None:
        lease = self.leases.pop(session)
        self._free(lease.rate, lease.burst)

    def _free(self, rate: float, burst: float) -> None:
        self.free.rate = min(self.terms.fraction, self.free.rate + rate)
        self.free.burst = min(self.terms.fraction, self.free.burst + burst)

    def _grant(
        self,
        lease: Lease,
        ask: ShareAsk,
        now: float,
        organisation: Organisation,
        *,
        is_fresh: bool,
    ) -> ShareGrant:
        reserve = self.terms.fraction * RESERVED_BURST
        spare = max(0, self.free.burst - reserve)
        tokens = self._tokens_for(ask)
        burst = self._burst_for(lease, ask, tokens, spare, organisation)
        held_burst = (lease.burst + burst) * organisation.burst
        rate = self._rate_for(lease, ask, held_burst / organisation.rate)
        held = 0 if is_fresh else ask.tokens
        tokens = max(0, min(tokens, held_burst - held))
        self.free.rate -= rate
        self.free.burst -= burst
        self.free.tokens -= tokens
        self.free.clip(organisation)
        lease.rate += rate
        lease.burst += burst
        validity = min(self.terms.lease, self.valid_until - now)
        lease.lapses_at = max(lease.lapses_at, now + validity)
        return ShareGrant(
            rate=rate,
            burst=burst,
            tokens=tokens,
            validity=validity,
            interval=self.terms.interval,
            is_fresh=is_fresh,
            is_scarce=self.free.burst < reserve * SCARCE_PART,
            room=held_burst
            + max(0, self.free.burst - reserve) * organisation.burst / 2,
        )

    def _tokens_for(self, ask: ShareAsk) -> float:
        """Return tokens to give: all that a call needs, or half of the rest."""
        most = max(1, self.free.tokens * MAX_GIVEN_TOKENS)
        return max(0, min(ask.wanted_tokens, most, self.free.tokens))

    def _burst_for(
        self,
        lease: Lease,
        ask: ShareAsk,
        tokens: float,
        spare: float,
        organisation: Organisation,
    ) -> float:
        """Return burst to give, so that the tokens that stay still fit.

        Half of what is not reserved goes to one lease at most; a call that
        waits may have some of the reserve.
        """
        kept = (self.free.tokens - tokens) / organisation.burst
        wanted = ask.wanted_burst - lease.burst
        least = min(ask.urgent, 1) / organisation.burst
        whole = 1 / organisation.burst
        most = max(least, min(spare, max(whole, spare * MAX_GIVEN_BURST)))
        return max(0, min(wanted, most, self.free.burst - kept))

    def _rate_for(self, lease: Lease, ask: ShareAsk, seconds: float) -> float:
        """Return rate to give, so much that there is room for its tokens.

        ``seconds`` is the time in which the whole rate would fill the lease.
        """
        spare = self.free.rate - self.terms.fraction * RESERVED_RATE
        wanted = min(ask.wanted_rate, seconds / ROOM_SECONDS)
        return max(0, min(wanted - lease.rate, spare))


def _burst_of(lease: Lease) -> float:
    return lease.burst
