"""Decide which nodes read the store for all others.

Calls to the store cost money and load it, and hundreds of nodes need the same
few rows. Two nodes of each domain follow the store's changes and pass them on,
the first by rank. Rows outlive nodes that are lost, so the first that is left of
a domain follows as well. A node reads the store itself when it is cut off from
the others, and a few random ones do when none has heard from the store for long:
it may turn away just those that follow it.
"""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from boragetrestle_sidecar.table_watch import (
    IDLE_CHECK_SECONDS,
    LONG_POLL_SECONDS,
)

if TYPE_CHECKING:
    from boragetrestle_sidecar.member_links import MemberLinks
    from boragetrestle_sidecar.tree_exchange import TreeExchange

# A follower hears from the store at least after each long poll.
STORE_SILENCE_SECONDS = LONG_POLL_SECONDS + LONG_POLL_SECONDS / 2
# In a fleet that does not hear from the store, one node more tries it this
# often on average.
VOLUNTEER_INTERVAL_SECONDS = 0.5
# For which a volunteer reads, so that both tables are read once.
VOLUNTEER_SECONDS = 2.0
NEVER_HEARD_SECONDS = 1e6
# When a whole fleet starts, its nodes write their rows within this time, and a
# single read then finds them all.
FIRST_START_DELAY_SECONDS = 0.8


class StoreFollowing:
    """What this node knows of the store's reachability, and what it reads.

    ``was_read`` tells whether this node has read the table of nodes once, and
    ``heard_at`` when it or another last read the operators' table. A node that
    has just started waits for its neighbours before it volunteers.
    """

    def __init__(
        self,
        *,
        is_first_start: bool,
        links: 'MemberLinks',
        chance: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.links = links
        self.chance = chance
        self.clock = clock
        delay = FIRST_START_DELAY_SECONDS if is_first_start else 0.0
        self.first_read_at = clock() + delay
        self.was_read = False
        self.started_at = clock()
        self.heard_at = self.started_at - NEVER_HEARD_SECONDS
        self.volunteers_until = 0.0
        self.tree: TreeExchange | None = None

    @property
    def has_nodes(self) -> bool:
        """Whether the table of nodes is known, from the store or from peers."""
        return self.was_read or bool(self.links.fleet.table.rows)

    @property
    def age(self) -> float:
        """Seconds since this node or another read the operators' table."""
        return self.clock() - self.heard_at

    def record_age(self, age: float) -> None:
        """Take over how long ago another node read the operators' table."""
        self.heard_at = max(self.heard_at, self.clock() - age)

    def needs_nodes(self) -> bool:
        """Return whether this node has to read the table of nodes."""
        if self.clock() < self.first_read_at:
            return False
        return not self.has_nodes or self.needs_changes()

    def needs_changes(self) -> bool:
        """Return whether this node has to follow the store's changes."""
        if not self.has_nodes:
            return False
        if self.links.is_follower or self._replaces_followers():
            return True
        return self._volunteers()

    def _replaces_followers(self) -> bool:
        """Return whether the nodes that would read for this one may be lost."""
        tree = self.tree
        return tree is not None and (tree.leads_domain or tree.is_cut_off)

    def _volunteers(self) -> bool:
        """Return whether this node tries the store for a silent fleet."""
        now = self.clock()
        if now < self.volunteers_until:
            return True
        heard_at = max(self.heard_at, self.started_at)
        if now - heard_at < STORE_SILENCE_SECONDS:
            return False
        interval = VOLUNTEER_INTERVAL_SECONDS * self._running_nodes()
        if self.chance.random() * interval >= IDLE_CHECK_SECONDS:
            return False
        self.volunteers_until = now + VOLUNTEER_SECONDS
        return True

    def _running_nodes(self) -> int:
        """Return how many nodes share the turns; rows outlive their nodes."""
        known = len(self.links.fleet.members)
        if self.tree is None:
            return known
        return min(known, self.tree.aggregation.total.nodes or known)
