"""The nodes of the fleet and the guards that run a service."""

from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

from boragetrestle_sidecar.placement import GuardView
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.hop import Hop
    from boragetrestle_sidecar.node_status import NodeStatus
    from boragetrestle_sidecar.outcome import Outcome

# The list of nodes is read again within a few seconds of a change.
ANNOUNCED_SECONDS = 10.0
# A quarter of the shortest time in which a silent peer is noticed.
LEAST_INTERVAL_SECONDS = 0.25
# Each status costs about 0.1 ms at both ends: 1 in 100 of a core at most.
SECONDS_PER_NODE = 0.008
KEPT_SECONDS = 5.0  # an older status is not counted in plans
KEPT_INTERVALS = 4.0  # of large fleets, whose nodes tell it more seldom
SILENT_SECONDS = 0.7  # a guard that is silent for longer is avoided
SILENT_INTERVALS = 3.0  # a status may be lost


class Fleet:
    """What this node knows of all nodes; ``members`` are their addresses."""

    def __init__(
        self,
        address: str,
        *,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.address = address
        self.clock = clock
        self.members: tuple[str, ...] = ()
        self.is_confirmed = False
        self.announced: dict[str, float] = {}
        self.views: dict[str, GuardView] = {}
        self.statuses: dict[str, NodeStatus] = {}
        self.by_service: dict[str, list[GuardView]] = {}
        self.on_members: Callable[[Sequence[str]], None] | None = None

    def add(self, address: str, hop: 'Hop', *, is_local: bool = False) -> None:
        """Add a node with the way to its guard."""
        self.views[address] = GuardView(
            address,
            hop,
            domain='',
            is_local=is_local,
        )

    def remove(self, address: str) -> None:
        """Forget a node."""
        self.views.pop(address, None)
        self.statuses.pop(address, None)
        self._index()

    def set_members(self, members: Iterable[str]) -> None:
        """Take the list of nodes as the store has it.

        Nodes that have just announced themselves may be missing in it.
        """
        self.is_confirmed = True
        oldest = self.clock() - ANNOUNCED_SECONDS
        recent = {
            address
            for address, announced_at in self.announced.items()
            if announced_at >= oldest
        }
        self._replace({*members, *recent})

    def announce(self, address: str) -> None:
        """Take a node's own word that it has joined."""
        self.announced[address] = self.clock()
        if address not in self.members:
            self._replace({*self.members, address})

    def suggest(self, members: Iterable[str]) -> None:
        """Take another node's list as long as the store's is unknown."""
        if not self.is_confirmed:
            self._replace({*self.members, *members})

    @property
    def is_first(self) -> bool:
        """Whether no node that is heard of comes before this one.

        Nodes that see different fleets may both be the first for a while.
        """
        return all(address >= self.address for address in self.statuses)

    @property
    def status_interval(self) -> float:
        """Seconds between two statuses of a node."""
        least = SECONDS_PER_NODE * len(self.members)
        return max(LEAST_INTERVAL_SECONDS, least)

    def is_lively(self, guard: GuardView) -> bool:
        """Return whether a guard has not been silent for long."""
        if guard.is_local:
            return True
        now = self.clock()
        if guard.hop.silent_seconds(now) > SILENT_SECONDS:
            return False
        longest = max(SILENT_SECONDS, SILENT_INTERVALS * self.status_interval)
        return now - guard.heard_at < longest

    def guards_of(self, service: str) -> Sequence[GuardView]:
        """Return the guards of a service's targets."""
        return self.by_service.get(service, ())

    def take_status(self, status: 'NodeStatus') -> None:
        """Take what a node says of itself."""
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
            self._index()

    def note_outcome(self, view: GuardView, outcome: 'Outcome') -> None:
        """Take the load that a guard told with an outcome."""
        view.unconfirmed = max(0, view.unconfirmed - 1)
        load = outcome.load
        if load.limit:
            view.heard_at = self.clock()
            view.is_open = load.is_open
            view.running = max(0, load.running - view.unconfirmed)
            view.waiting = load.waiting
            view.limit = load.limit
            view.run_seconds = load.run_seconds
            view.failing_share = load.failing_share

    def lost(self, address: str) -> None:
        """Note that a node is out of reach."""
        view = self.views.get(address)
        if view is not None:
            view.is_open = False
            view.unconfirmed = 0
        self.statuses.pop(address, None)
        if view is not None:
            view.service = ''
            self._index()

    def current_statuses(self) -> 'list[NodeStatus]':
        """Return the statuses that are recent."""
        longest = max(KEPT_SECONDS, KEPT_INTERVALS * self.status_interval)
        oldest = self.clock() - longest
        return [
            status
            for address, status in self.statuses.items()
            if self.views[address].heard_at >= oldest
        ]

    def _replace(self, members: Iterable[str]) -> None:
        known = tuple(sorted(set(members)))
        if known == self.members:
            return
        self.members = known
        if self.on_members is not None:
            self.on_members(known)

    def _index(self) -> None:
        by_service: dict[str, list[GuardView]] = {}
        for view in self.views.values():
            if view.service:
                by_service.setdefault(view.service, []).append(view)
        self.by_service = by_service
