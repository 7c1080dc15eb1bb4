"""Know when a target is cold and how many requests a second it takes then.

A target is cold after its start, and may become cold again at any moment. It
crashes if all nodes together send it many more requests than its service
allows for cold targets.
"""

import math
from enum import Enum

# Before a configuration is known, a cold target gets this many requests a
# second, since it may take few.
UNKNOWN_RATE = 1.0
# A heartbeat that comes sooner after an assumption may have been sent before.
MIN_ASSUMED_SECONDS = 0.3


class ColdSource(Enum):
    """Why a target counts as cold."""

    REPORTED = 'reported'
    UNREACHABLE = 'unreachable'
    CONNECTIONS_ENDED = 'connections-ended'
    TAKEN_BACK = 'taken-back'


class ColdPhase:
    """The coldness of the target beside a guard; times are on its clock.

    ``rate`` is the requests a second that a cold target takes, None if its
    service names no limit.

    >>> cold = ColdPhase()
    >>> cold.rate = 6.0
    >>> cold.record_report(2.0, now=10.0)
    >>> cold.limit(now=11.0), cold.limit(now=12.0)
    (6.0, None)
    """

    def __init__(self, rate: float | None = None) -> None:
        self.rate = rate
        self.until = -math.inf
        self.assumed_at = -math.inf
        self.source = ColdSource.REPORTED

    def record_report(
        self,
        cold_seconds: float,
        *,
        now: float,
        is_new: bool = False,
    ) -> None:
        """Take over how long a target says that it stays cold.

        ``is_new`` tells that the report is the first of an incarnation, which
        settles any assumption.
        """
        if not is_new and now - self.assumed_at < MIN_ASSUMED_SECONDS:
            return
        self.source = ColdSource.REPORTED
        self.until = now + cold_seconds

    def assume(self, source: ColdSource, *, now: float) -> None:
        """Take the target for cold until it reports."""
        self.source = source
        self.assumed_at = now
        self.until = math.inf

    def seconds_left(self, *, now: float) -> float | None:
        """Return how long the target stays cold, None if that is unknown.

        It is 0 for a target that is warm, or whose service names no limit.
        """
        if self.limit(now=now) is None:
            return 0.0
        return self.until - now if math.isfinite(self.until) else None

    def limit(self, *, now: float) -> float | None:
        """Return the requests a second that the target takes, None if warm."""
        return self.rate if now < self.until else None
