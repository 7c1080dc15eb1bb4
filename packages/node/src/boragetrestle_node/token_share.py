"""Token bucket with a part of an organisation's rate and burst."""

from boragetrestle_kernel.service_text import Organisation


class TokenShare:
    """Accrue tokens at a fraction of the rate, up to a fraction of the burst.

    Fractions stay the same when operators change the rate. Over all shares of
    an organisation, the fractions of rate and of burst add up to one at most;
    code that moves a fraction or tokens takes them from one share before it
    adds them to another.

    >>> organisation = Organisation('acacia', rate=10, burst=4)
    >>> share = TokenShare(rate=0.5, burst=0.5, tokens=0, now=0)
    >>> share.refill(0.2, organisation)
    >>> share.tokens
    1.0
    >>> share.refill(9, organisation)
    >>> share.tokens
    2.0
    """

    __slots__ = ('burst', 'rate', 'seen_rate', 'tokens', 'updated_at')

    def __init__(
        self,
        *,
        rate: float,
        burst: float,
        tokens: float,
        now: float,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.updated_at = now
        self.seen_rate: float | None = None

    def refill(self, now: float, organisation: Organisation) -> None:
        """Add the tokens that accrued since the last refill.

        If the rate changed since, the lower one counts for the whole time.
        """
        rate = organisation.rate
        if self.seen_rate is not None:
            rate = min(rate, self.seen_rate)
        self.seen_rate = organisation.rate
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.tokens += elapsed * rate * self.rate
        self.clip(organisation)

    def clip(self, organisation: Organisation) -> None:
        """Drop tokens beyond the fraction of the burst."""
        self.tokens = min(self.tokens, self.burst * organisation.burst)

    def take_up_to(self, wanted: float) -> float:
        """Take up to ``wanted`` tokens and return how many were taken."""
        taken = max(0.0, min(wanted, self.tokens))
        self.tokens -= taken
        return taken
