"""A lease of a part of one share, as the node that asked for it keeps it."""

from dataclasses import dataclass

from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.share_messages import ShareGrant
from boragetrestle_node.share_terms import usable_seconds
from boragetrestle_node.token_share import TokenShare


@dataclass(slots=True)
class LeaseView:
    """Describe a lease to its holder, with the tokens that are returned."""

    rate: float = 0
    burst: float = 0
    tokens: float = 0
    returned: float = 0


class ShareLease:
    """Keep a lease of a part of a share; times are on this node's clock.

    ``room`` is how many tokens the holder lets the lease have.
    """

    __slots__ = ('ask_at', 'is_scarce', 'lapses_at', 'room', 'share')

    def __init__(self, share: TokenShare) -> None:
        self.share = share
        self.lapses_at = 0.0
        self.ask_at = 0.0
        self.is_scarce = False
        self.room = 0.0

    def is_live(self, now: float) -> bool:
        """Tell whether the lease has not lapsed."""
        return now < self.lapses_at

    @property
    def has_unused_burst(self) -> bool:
        """Whether it has burst but no token, while burst is scarce."""
        return self.is_scarce and self.share.tokens < 1 and self.share.burst > 0

    def shrink(
        self,
        now: float,
        organisation: Organisation,
        *,
        rate: float,
        burst: float,
    ) -> LeaseView:
        """Lower the fractions and take out the tokens that no longer fit."""
        share = self.share
        share.refill(now, organisation)
        share.rate = min(share.rate, rate)
        share.burst = min(share.burst, burst)
        excess = share.tokens - share.burst * organisation.burst
        returned = share.take_up_to(max(0, excess))
        return LeaseView(share.rate, share.burst, share.tokens, returned)

    def add(
        self,
        grant: ShareGrant,
        now: float,
        organisation: Organisation,
        *,
        asked_at: float,
    ) -> None:
        """Add a grant that answers a message sent at ``asked_at``.

        Tokens that accrued until now are added first, at the old rate.
        """
        self.share.refill(now, organisation)
        self.share.rate += grant.rate
        self.share.burst += grant.burst
        self.share.tokens += grant.tokens
        self.lapses_at = asked_at + usable_seconds(grant.validity)
        self.ask_at = asked_at + grant.interval
        self.is_scarce = grant.is_scarce
        self.room = grant.room
