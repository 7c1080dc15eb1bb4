"""The nodes of the fleet and the guards that this node has links to."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING

from boragetrestle_sidecar.member import Member
from boragetrestle_sidecar.member_table import MemberRow, MemberTable
from boragetrestle_sidecar.placement import GuardView
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.target_notice import TargetNotice

if TYPE_CHECKING:
    from boragetrestle_platform.table import Row
    from boragetrestle_sidecar.evacuations import Evacuations
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.hop import Hop
    from boragetrestle_sidecar.node_load import NodeLoad
    from boragetrestle_sidecar.outcome import GuardLoad, Outcome

# Other guards are preferred to one that has not been heard for this long.
GUARD_SILENCE_SECONDS = 0.7
MAX_NOTICES = 4000  # more than nodes; those of nodes that are gone stay


class Fleet:
    """What this node knows about the nodes of the fleet.

    ``table`` has all nodes. The guard of a node enforces the limits of the
    target beside it; ``views`` holds the last known state of the guards to
    which this node has links, by address. ``notices`` is what this node was told
    of their targets; it outlasts the links. ``evacuations`` are the domains to
    whose targets nothing may be sent. ``on_members_changed`` is called with all
    nodes after a change.
    """

    def __init__(
        self,
        own: Member,
        evacuations: 'Evacuations',
        *,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.own = own
        self.evacuations = evacuations
        self.address = own.address
        self.clock = clock
        self.table = MemberTable()
        self.members: dict[str, Member] = {own.address: own}
        self.has_read_rows = False
        self.local_guard: Guard | None = None
        self.notices: dict[str, TargetNotice] = {}
        self.views: dict[str, GuardView] = {}
        self.views_by_service: dict[str, list[GuardView]] = {}
        self.on_members_changed: Callable[[Sequence[Member]], None] | None = (
            None
        )

    def add(self, address: str, hop: 'Hop') -> None:
        """Add the guard of another node; ``hop`` carries runs to it."""
        self.views[address] = GuardView(address, hop, domain='')

    def add_local(self, guard: 'Guard', hop: 'Hop') -> None:
        """Add the guard in this process."""
        self.local_guard = guard
        self.views[self.address] = GuardView(
            self.address,
            hop,
            domain=self.own.domain,
            is_local=True,
        )

    def remove(self, address: str) -> None:
        """Remove a guard."""
        self.views.pop(address, None)
        self._rebuild_service_index()

    def merge_rows(self, rows: Iterable[MemberRow]) -> list[MemberRow]:
        """Take over newer rows of nodes; return those."""
        newer = self.table.merge(rows)
        self._apply_changes(newer)
        return newer

    def replace_rows(
        self,
        rows: 'Mapping[str, Row]',
        *,
        epoch: int,
        position: int,
        keeps_missing: bool = False,
    ) -> list[MemberRow]:
        """Take over a whole read of the table; return the rows that changed."""
        newer = self.table.replace(
            rows,
            epoch=epoch,
            position=position,
            keeps_missing=keeps_missing,
        )
        self._apply_changes(newer)
        return newer

    def is_responsive(self, guard: GuardView) -> bool:
        """Return whether a guard has sent something recently.

        Other open guards are preferred to one that has not.
        """
        if guard.is_local:
            return True
        now = self.clock()
        if guard.hop.unanswered_seconds(now) > GUARD_SILENCE_SECONDS:
            return False
        return now - guard.heard_at < GUARD_SILENCE_SECONDS

    def guards_of(self, service: str) -> Sequence[GuardView]:
        """Return the linked guards of a service's targets, also closed ones.

        Those of evacuated domains are left out.
        """
        views = self.linked_guards_of(service)
        evacuated = self.evacuations.domains
        if evacuated:
            return [view for view in views if view.domain not in evacuated]
        return views

    def linked_guards_of(self, service: str) -> Sequence[GuardView]:
        """Return all linked guards of a service's targets.

        Those of evacuated domains are among them; nothing may be sent to them.
        """
        if self.local_guard is not None:
            self._update_local_view(self.local_guard, service)
        return self.views_by_service.get(service, ())

    def seconds_until_warm(self, service: str) -> float:
        """Return when the first target of a service is warm, 0 if one is.

        It is 0 as well if no guard of the service has been heard.
        """
        views = [view for view in self.guards_of(service) if view.is_open]
        now = self.clock()  # after the view of the own guard has been renewed
        return min(
            (max(0.0, view.warm_at - now) for view in views), default=0.0
        )

    def update_load(self, load: 'NodeLoad') -> None:
        """Update the view of a guard from what its node sent."""
        view = self.views.get(load.address)
        if view is None:
            return
        view.domain = load.domain
        self._update_view(view, load.load, load.service)

    def record_outcome(self, view: GuardView, outcome: 'Outcome') -> None:
        """Update a guard's view from the load reported with an outcome."""
        view.unconfirmed_runs = max(0, view.unconfirmed_runs - 1)
        if outcome.load.limit:
            self._update_view(view, outcome.load, view.service)

    def mark_unreachable(self, address: str) -> None:
        """Close the view of a guard whose link was lost."""
        view = self.views.get(address)
        if view is not None:
            view.is_open = False
            view.unconfirmed_runs = 0
            view.service = ''
            self._rebuild_service_index()
            _call_waits(view)

    def _update_view(
        self,
        view: GuardView,
        load: 'GuardLoad',
        service: str,
    ) -> None:
        """Store a guard's load.

        The runs that the guard counts include those of this node, which its
        view counts as unconfirmed until their outcome is known.
        """
        view.heard_at = self.clock()
        self._remember_notice(view.address, load)
        view.is_open = load.is_open
        view.running = max(0, load.running - view.unconfirmed_runs)
        view.waiting = load.waiting
        view.limit = load.limit
        view.run_seconds = load.run_seconds
        view.failing_share = load.failing_share
        view.warm_at = view.heard_at + load.cold_seconds
        if view.service != service:
            view.service = service
            self._rebuild_service_index()
        _call_waits(view)

    def _remember_notice(self, address: str, load: 'GuardLoad') -> None:
        """Keep what a guard says of its target.

        A guard that has just started may not know it any more; one that is open
        and says nothing has a target without limit.
        """
        if load.notice is not None:
            self.notices[address] = load.notice
            if len(self.notices) > MAX_NOTICES:
                self.notices.pop(next(iter(self.notices)))
        elif load.is_open:
            self.notices.pop(address, None)

    def _update_local_view(self, guard: 'Guard', wanted: str) -> None:
        report = guard.reported_target.report
        service = report.service if report else ''
        view = self.views[self.address]
        if wanted in {service, view.service}:
            self._update_view(view, guard.load, service)

    def _apply_changes(self, changed: list[MemberRow]) -> None:
        if not changed:
            return
        known = {**self.table.members, self.address: self.own}
        if known == self.members and self.has_read_rows:
            return
        self.has_read_rows = True
        self.members = known
        if self.on_members_changed is not None:
            self.on_members_changed(list(known.values()))

    def _rebuild_service_index(self) -> None:
        by_service: dict[str, list[GuardView]] = {}
        for view in self.views.values():
            if view.service:
                by_service.setdefault(view.service, []).append(view)
        self.views_by_service = by_service


def _call_waits(view: GuardView) -> None:
    waits = view.waits
    view.waits = []
    for heard in waits:
        heard()
