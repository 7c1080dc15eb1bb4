"""How old a node's knowledge of the store is."""

from math import inf

from boragetrestle_kernel.ids import DomainName, Version

FRESH_SECONDS = 4.0

_BOUND_SECONDS = 10.0
_LOST_SECONDS = 6.0


class Freshness:
    """Bound the age of the newest confirmed read of the head.

    ``store_time`` is the store's own time of that read, whoever made it. The
    store's present time is bounded from round trips: at a monotonic time ``m``
    the store's clock shows at most ``m + offset``. Messages that are delayed,
    repeated or read after a pause can therefore only raise the age. Times are
    in seconds.

    >>> fresh = Freshness()
    >>> fresh.note_clock(100, at=10)
    >>> fresh.confirm(100, Version(3), in_force=Version(3))
    True
    >>> fresh.age(now=12)
    2
    """

    def __init__(self) -> None:
        self.store_time = -inf
        self.confirmed = Version(0)
        self.offset = inf
        self.offset_at = -inf
        self.lost: dict[DomainName, float] = {}
        self.own_read_at = -inf

    def note_clock(self, store_now: float, *, at: float) -> None:
        """Take a bound on the store's time at a monotonic time."""
        sample = store_now - at
        if sample < self.offset or at - self.offset_at > _BOUND_SECONDS:
            self.offset = sample
            self.offset_at = at

    def confirm(
        self,
        store_time: float,
        confirmed: Version,
        *,
        in_force: Version,
    ) -> bool:
        """Take a confirmed read if it is newer; return whether taken.

        A read counts only when the version that it showed is in force.
        """
        if in_force < confirmed or store_time <= self.store_time:
            return False
        self.store_time = store_time
        self.confirmed = confirmed
        return True

    def age(self, *, now: float) -> float:
        """Return the greatest age in seconds that the last read may have."""
        if self.store_time == -inf:
            return inf
        return now + self.offset - self.store_time

    def store_now(self, *, now: float) -> float | None:
        """Return the latest time that the store's clock may show."""
        return None if self.offset == inf else now + self.offset

    def is_fresh(self, *, now: float) -> bool:
        """Return whether no accepted change can be older than the bound."""
        return self.age(now=now) <= FRESH_SECONDS

    def note_lost(self, domain: DomainName, at: float) -> None:
        """Remember that a read from a domain, begun at a time, failed."""
        self.lost[domain] = max(at, self.lost.get(domain, -inf))

    def lost_domains(self, *, now: float) -> dict[DomainName, float]:
        """Return the ages of the failed reads that still count."""
        return {
            domain: now - at
            for domain, at in self.lost.items()
            if now - at <= _LOST_SECONDS
        }
