"""How an organisation's rate is divided and for how long."""

from typing import NamedTuple

DRIFT = 0.01


class ShareTerms(NamedTuple):
    """The number of shares of an organisation and the times, in seconds.

    A tenure is how long the table grants a share to its holder. It is renewed
    at the age of ``renewal``, so that a store outage of the difference costs
    nothing. A lease is what a holder gives to a node that sees demand; it lasts
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
        return self.lease * (1 + DRIFT)

    @property
    def fraction(self) -> float:
        """The fraction of rate and burst in one share."""
        return 1 / self.shares


def holder_seconds(seconds: float) -> float:
    """Return the time for which the holder of a grant may use it.

    Clocks of two hosts may drift by ``DRIFT``, so a holder counts less than the
    time that was granted.
    """
    return seconds * (1 - DRIFT)
