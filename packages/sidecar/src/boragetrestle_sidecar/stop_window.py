"""Which requests a node that stops can still see through."""

import math
from typing import NamedTuple


class StopWindow(NamedTuple):
    """The last moments of a node on its clock, in seconds.

    Until ``accepts_until`` all requests are sent on, since callers have not had
    the time to move to another node. After that only those are whose time is up
    before the node closes at ``closes_at``.

    >>> window = StopWindow(accepts_until=2.0, closes_at=5.0)
    >>> window.may_send(1.0, ends_at=9.0), window.may_send(3.0, ends_at=9.0)
    (True, False)
    >>> window.may_send(3.0, ends_at=4.0)
    True
    """

    accepts_until: float = math.inf
    closes_at: float = math.inf

    def may_send(self, now: float, *, ends_at: float) -> bool:
        """Return whether to send on a request that is over by ``ends_at``."""
        return now < self.accepts_until or ends_at <= self.closes_at


NO_STOP = StopWindow()
CLOSED = StopWindow(accepts_until=-math.inf, closes_at=-math.inf)
