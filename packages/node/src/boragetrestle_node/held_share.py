"""Divide a share of an organisation's rate that this node holds."""

from dataclasses import dataclass
from typing import NamedTuple

from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.share_messages import ShareAsk, ShareGrant
from boragetrestle_node.share_terms import ShareTerms
from boragetrestle_node.token_share import TokenShare

RESERVED_RATE_PART = 0.1
MAX_GRANTED_TOKENS_PART = 0.5
RECALL_INTERVAL_SECONDS = 0.1
HEARD_LATELY_SECONDS = 0.2
MAX_RECALL_INTERVAL_SECONDS = 3.0
MAX_RECALLS_AT_ONCE = 8
RESERVED_BURST_PART = 0.4
MAX_GRANTED_BURST_PART = 0.5
MIN_FILL_SECONDS = 0.3
SCARCE_PART = 0.9

_RECALL_LIMIT_FACTOR = 1.1
_RECALL_BACKOFF_FACTOR = 2.0


@dataclass(slots=True)
class GrantedLease:
    """Record what the holder has leased to one process of a node.

    The process never has more than this. ``rate`` and ``burst`` are fractions
    of the organisation's; ``lapses_at`` is on the holder's clock.
    """

    address: str
    number: int
    lapses_at: float
    rate: float = 0
    burst: float = 0
    demand: float = 0
    heard_at: float = 0
    recalled_at: float = 0
    recall_pause: float = RECALL_INTERVAL_SECONDS

    def is_recall_due(self, now: float) -> bool:
        """Tell whether to ask the node to return what it does not need.

        A node that sent a message lately and returned nothing is asked less
        often.
        """
        is_quiet = now - self.heard_at > HEARD_LATELY_SECONDS
        pause = RECALL_INTERVAL_SECONDS if is_quiet else self.recall_pause
        return now >= self.recalled_at + pause


class Recall(NamedTuple):
    """Name a node to send a recall to, and the fraction it may keep."""

    address: str
    rate: float


class HeldShare:
    """Divide a share among its leases.

    ``free`` is the part that is not leased; its tokens accrue here. The tenure
    ends at ``valid_until`` on this node's clock; ``version`` is that of the
    row. Tokens leave ``free`` before the other node adds them, so a lost
    answer loses its tokens until the lease is asked for again or lapses.
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
        self.leases: dict[str, GrantedLease] = {}

    def answer(
        self,
        ask: ShareAsk,
        now: float,
        organisation: Organisation,
    ) -> ShareGrant | None:
        """Return a grant, or ``None`` for a late or repeated message."""
        self.refresh(now, organisation)
        if now >= self.valid_until or now < self.free.updated_at:
            return ShareGrant()
        lease = self.leases.get(ask.session)
        is_fresh = lease is None
        if lease is None:
            lease = GrantedLease(ask.address, ask.number, now)
            self.leases[ask.session] = lease
        elif ask.number <= lease.number:
            return None
        else:
            self._reclaim(lease, ask, organisation)
        if ask.is_return:
            self._end_lease(ask.session)
            return ShareGrant()
        lease.number = ask.number
        lease.heard_at = now
        lease.demand = ask.demand
        return self._grant(lease, ask, now, organisation, is_fresh=is_fresh)

    def refresh(self, now: float, organisation: Organisation) -> None:
        """Accrue tokens, then end lapsed leases; their tokens are lost."""
        self.free.refill(now, organisation)
        for session, lease in list(self.leases.items()):
            if now > lease.lapses_at:
                self._free_fractions(lease.rate, lease.burst)
                self.leases.pop(session)

    def choose_recalls(self, now: float, *, session: str) -> list[Recall]:
        """Choose leases to cut down because ``session`` is short of tokens."""
        due = [
            lease
            for other, lease in self.leases.items()
            if other != session and lease.burst > 0 and lease.is_recall_due(now)
        ]
        due.sort(key=_burst_of, reverse=True)
        total = sum(lease.demand for lease in self.leases.values())
        chosen = []
        for lease in due[:MAX_RECALLS_AT_ONCE]:
            part = lease.demand / total if total else 0
            lease.recalled_at = now
            lease.recall_pause = min(
                MAX_RECALL_INTERVAL_SECONDS,
                lease.recall_pause * _RECALL_BACKOFF_FACTOR,
            )
            chosen.append(
                Recall(
                    lease.address, self._leasable * part * _RECALL_LIMIT_FACTOR
                )
            )
        return chosen

    @property
    def _leasable(self) -> float:
        return self.terms.fraction * (1 - RESERVED_RATE_PART)

    def _reclaim(
        self,
        lease: GrantedLease,
        ask: ShareAsk,
        organisation: Organisation,
    ) -> None:
        """Add to ``free`` what the node gave up, with its returned tokens."""
        rate = min(lease.rate, max(0, ask.rate))
        burst = min(lease.burst, max(0, ask.burst))
        if ask.returned >= 1:
            lease.recall_pause = RECALL_INTERVAL_SECONDS
        self._free_fractions(lease.rate - rate, lease.burst - burst)
        lease.rate = rate
        lease.burst = burst
        self.free.tokens += max(0, ask.returned)
        self.free.clip(organisation)

    def _end_lease(self, session: str) -> None:
        lease = self.leases.pop(session)
        self._free_fractions(lease.rate, lease.burst)

    def _free_fractions(self, rate: float, burst: float) -> None:
        self.free.rate = min(self.terms.fraction, self.free.rate + rate)
        self.free.burst = min(self.terms.fraction, self.free.burst + burst)

    def _grant(
        self,
        lease: GrantedLease,
        ask: ShareAsk,
        now: float,
        organisation: Organisation,
        *,
        is_fresh: bool,
    ) -> ShareGrant:
        reserve = self.terms.fraction * RESERVED_BURST_PART
        spare = max(0, self.free.burst - reserve)
        tokens = self._tokens_to_grant(ask)
        burst = self._burst_to_grant(lease, ask, tokens, spare, organisation)
        held_burst = (lease.burst + burst) * organisation.burst
        rate = self._rate_to_grant(lease, ask, held_burst / organisation.rate)
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

    def _tokens_to_grant(self, ask: ShareAsk) -> float:
        """Return tokens to grant: one, or up to half of those in ``free``."""
        most = max(1, self.free.tokens * MAX_GRANTED_TOKENS_PART)
        return max(0, min(ask.wanted_tokens, most, self.free.tokens))

    def _burst_to_grant(
        self,
        lease: GrantedLease,
        ask: ShareAsk,
        tokens: float,
        spare: float,
        organisation: Organisation,
    ) -> float:
        """Return burst to grant, so that the tokens left in ``free`` still fit.

        One grant takes half of the unreserved burst at most, or enough of it
        for one token; a call that waits may use some of the reserve.
        """
        kept = (self.free.tokens - tokens) / organisation.burst
        wanted = ask.wanted_burst - lease.burst
        least = min(ask.urgent, 1) / organisation.burst
        one_token = 1 / organisation.burst
        most = max(
            least, min(spare, max(one_token, spare * MAX_GRANTED_BURST_PART))
        )
        return max(0, min(wanted, most, self.free.burst - kept))

    def _rate_to_grant(
        self, lease: GrantedLease, ask: ShareAsk, seconds: float
    ) -> float:
        """Return rate to grant, limited by the burst that holds its tokens.

        ``seconds`` is how long the organisation's whole rate takes to fill the
        burst of the lease.
        """
        spare = self.free.rate - self.terms.fraction * RESERVED_RATE_PART
        wanted = min(ask.wanted_rate, seconds / MIN_FILL_SECONDS)
        return max(0, min(wanted - lease.rate, spare))


def _burst_of(lease: GrantedLease) -> float:
    return lease.burst
