"""Set how an organisation's rate is divided and for how long."""

from typing import NamedTuple

MAX_DRIFT = 0.01


class ShareTerms(NamedTuple):
    """Set the number of shares of an organisation and times in seconds.

    A tenure is how long the table grants a share to its holder. It is renewed
    at the age of ``renewal``, so a store outage of up to the difference has no
    effect. A lease is what a holder grants to a node that sees demand; it lasts
    for ``lease`` and is asked for again at the age of ``interval``.
    """

    shares: int = 5
    tenure: float = 4_500.0
    renewal: float = 600.0
    lease: float = 15.0
    interval: float = 5.0

    @property
    def longest_lease(self) -> float:
        """Seconds after which a lease has lapsed on every clock."""
        return self.lease * (1 + MAX_DRIFT)

    @property
    def fraction(self) -> float:
        """The fraction of rate and burst in one share."""
        return 1 / self.shares


def usable_seconds(seconds: float) -> float:
    """Return the time for which the holder of a grant may use it.

    Clocks of two hosts may drift by ``DRIFT``, so a holder counts less than the
    time that was granted.
    """
    return seconds * (1 - MAX_DRIFT)
