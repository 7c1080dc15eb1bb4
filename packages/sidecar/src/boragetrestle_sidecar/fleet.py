"""The nodes of the fleet, their statuses and the guards of each service."""

from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

from boragetrestle_sidecar.placement import GuardView
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.hop import Hop
    from boragetrestle_sidecar.node_status import NodeStatus
    from boragetrestle_sidecar.outcome import Outcome

# A node that announced itself counts as a member for this long even if the list
# from the store lacks it; that list is read within a few seconds of a change.
ANNOUNCEMENT_TTL_SECONDS = 10.0
# A quarter of the shortest time in which a silent peer is detected.
MIN_STATUS_INTERVAL_SECONDS = 0.25
# A status costs about 0.1 ms of CPU at each end; with this interval per node,
# statuses take at most 1 in 100 of a core.
STATUS_INTERVAL_SECONDS_PER_NODE = 0.008
# Admission plans ignore statuses older than the larger of these two; large
# fleets send statuses less often, so there the intervals decide.
STATUS_MAX_AGE_SECONDS = 5.0
STATUS_MAX_AGE_INTERVALS = 4.0
# Other guards are preferred to one that is silent for longer than the larger of
# these two. The intervals tolerate the loss of a status.
GUARD_SILENCE_SECONDS = 0.7
GUARD_SILENCE_INTERVALS = 3.0


class Fleet:
    """What this node knows about all nodes of the fleet.

    ``members`` are the sorted addresses of the nodes. The guard of a node
    enforces the limits of the target beside it; ``views`` holds the last known
    state of each guard by address.
    """

    def __init__(
        self,
        address: str,
        *,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.address = address
        self.clock = clock
        self.members: tuple[str, ...] = ()
        self.has_store_members = False
        self.announced: dict[str, float] = {}
        self.views: dict[str, GuardView] = {}
        self.statuses: dict[str, NodeStatus] = {}
        self.views_by_service: dict[str, list[GuardView]] = {}
        self.on_members_changed: Callable[[Sequence[str]], None] | None = None

    def add(self, address: str, hop: 'Hop', *, is_local: bool = False) -> None:
        """Add a node; ``hop`` carries runs to its guard."""
        self.views[address] = GuardView(
            address,
            hop,
            domain='',
            is_local=is_local,
        )

    def remove(self, address: str) -> None:
        """Remove a node and its status."""
        self.views.pop(address, None)
        self.statuses.pop(address, None)
        self._rebuild_service_index()

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the members with the list from the store.

        Nodes that announced themselves recently are kept, since the list may
        not have them yet.
        """
        self.has_store_members = True
        oldest = self.clock() - ANNOUNCEMENT_TTL_SECONDS
        recent = {
            address
            for address, announced_at in self.announced.items()
            if announced_at >= oldest
        }
        self._replace_members({*members, *recent})

    def add_announced(self, address: str) -> None:
        """Add a node that has announced itself to this one."""
        self.announced[address] = self.clock()
        if address not in self.members:
            self._replace_members({*self.members, address})

    def add_peer_members(self, members: Iterable[str]) -> None:
        """Add members from a peer's list until the store's list is known."""
        if not self.has_store_members:
            self._replace_members({*self.members, *members})

    @property
    def has_lowest_address(self) -> bool:
        """Whether no node with a known status has a lower address.

        The fleet uses this to choose one node for a task. Nodes that know
        different members may both be chosen for a while.
        """
        return all(address >= self.address for address in self.statuses)

    @property
    def status_interval(self) -> float:
        """Seconds between two statuses that a node sends."""
        least = STATUS_INTERVAL_SECONDS_PER_NODE * len(self.members)
        return max(MIN_STATUS_INTERVAL_SECONDS, least)

    def is_responsive(self, guard: GuardView) -> bool:
        """Return whether a guard has sent something recently.

        Other open guards are preferred to one that has not.
        """
        if guard.is_local:
            return True
        now = self.clock()
        if guard.hop.unanswered_seconds(now) > GUARD_SILENCE_SECONDS:
            return False
        longest = max(
            GUARD_SILENCE_SECONDS,
            GUARD_SILENCE_INTERVALS * self.status_interval,
        )
        return now - guard.heard_at < longest

    def guards_of(self, service: str) -> Sequence[GuardView]:
        """Return the guards of a service's targets, also closed ones."""
        return self.views_by_service.get(service, ())

    def update_status(self, status: 'NodeStatus') -> None:
        """Store a node's status and update the view of its guard."""
        view = self.views.get(status.address)
        if view is None:
            return
        known = self.statuses.get(status.address)
        self.statuses[status.address] = status
        view.heard_at = self.clock()
        view.is_open = status.is_open
        view.domain = status.domain
        view.limit = status.limit
        view.running = status.running
        view.waiting = status.waiting
        view.run_seconds = status.run_seconds
        view.failing_share = status.failing_share
        if known is None or known.service != status.service:
            view.service = status.service
            self._rebuild_service_index()

    def record_outcome(self, view: GuardView, outcome: 'Outcome') -> None:
        """Update a guard's view from the load reported with an outcome.

        Runs sent to the guard that it has not reported yet are counted in
        ``unconfirmed``.
        """
        view.unconfirmed_runs = max(0, view.unconfirmed_runs - 1)
        load = outcome.load
        if load.limit:
            view.heard_at = self.clock()
            view.is_open = load.is_open
            view.running = max(0, load.running - view.unconfirmed_runs)
            view.waiting = load.waiting
            view.limit = load.limit
            view.run_seconds = load.run_seconds
            view.failing_share = load.failing_share

    def mark_unreachable(self, address: str) -> None:
        """Close the view of a node that cannot be reached; drop its status."""
        view = self.views.get(address)
        if view is not None:
            view.is_open = False
            view.unconfirmed_runs = 0
        self.statuses.pop(address, None)
        if view is not None:
            view.service = ''
            self._rebuild_service_index()

    def current_statuses(self) -> 'list[NodeStatus]':
        """Return the statuses that are recent enough for admission plans."""
        longest = max(
            STATUS_MAX_AGE_SECONDS,
            STATUS_MAX_AGE_INTERVALS * self.status_interval,
        )
        oldest = self.clock() - longest
        return [
            status
            for address, status in self.statuses.items()
            if self.views[address].heard_at >= oldest
        ]

    def _replace_members(self, members: Iterable[str]) -> None:
        known = tuple(sorted(set(members)))
        if known == self.members:
            return
        self.members = known
        if self.on_members_changed is not None:
            self.on_members_changed(known)

    def _rebuild_service_index(self) -> None:
        by_service: dict[str, list[GuardView]] = {}
        for view in self.views.values():
            if view.service:
                by_service.setdefault(view.service, []).append(view)
        self.views_by_service = by_service
