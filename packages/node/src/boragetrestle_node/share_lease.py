"""What this node has of one share."""

from dataclasses import dataclass

from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.share_messages import ShareGrant
from boragetrestle_node.share_terms import holder_seconds
from boragetrestle_node.token_share import TokenShare


@dataclass(slots=True)
class LeaseView:
    """What a lease was when its holder was asked, with the returned tokens."""

    rate: float = 0
    burst: float = 0
    tokens: float = 0
    returned: float = 0


class ShareLease:
    """A lease of a part of a share, on this node's clock in seconds."""

    __slots__ = ('ask_at', 'is_scarce', 'lapses_at', 'room', 'share')

    def __init__(self, share: TokenShare) -> None:
        self.share = share
        self.lapses_at = 0.0
        self.ask_at = 0.0
        self.is_scarce = False
        self.room = 0.0

    def is_live(self, now: float) -> bool:
        """Tell whether the lease holds."""
        return now < self.lapses_at

    @property
    def is_wasted(self) -> bool:
        """Whether it keeps room without a token that others are short of."""
        return self.is_scarce and self.share.tokens < 1 and self.share.burst > 0

    def shrink(
        self,
        now: float,
        organisation: Organisation,
        *,
        rate: float,
        burst: float,
    ) -> LeaseView:
        """Cut fractions down and return the tokens that no longer fit."""
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
        """Add a grant that answers a message sent at a time.

        What accrued until now is added first, at the rate from before.
        """
        self.share.refill(now, organisation)
        self.share.rate += grant.rate
        self.share.burst += grant.burst
        self.share.tokens += grant.tokens
        self.lapses_at = asked_at + holder_seconds(grant.validity)
        self.ask_at = asked_at + grant.interval
        self.is_scarce = grant.is_scarce
        self.room = grant.room
