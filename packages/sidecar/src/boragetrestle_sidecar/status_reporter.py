"""Measure what this node reports, and tell entries when its guard changes."""

from typing import TYPE_CHECKING

from boragetrestle_sidecar.node_load import NodeLoad
from boragetrestle_sidecar.node_status import NodeStatus, RouteCost
from boragetrestle_sidecar.peer_frames import FrameKind, encode_frame
from boragetrestle_sidecar.rate_meter import RateMeter

if TYPE_CHECKING:
    from boragetrestle_sidecar.config_keeper import ConfigKeeper
    from boragetrestle_sidecar.entry import Entry
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.member import Member
    from boragetrestle_sidecar.peer_server import PeerServer
    from boragetrestle_sidecar.target_notice import TargetNotice


class StatusReporter:
    """Report the load of this node's guard and the arrivals at its entry."""

    def __init__(
        self,
        own: 'Member',
        *,
        incarnation: int,
        guard: 'Guard',
        entry: 'Entry',
        keeper: 'ConfigKeeper',
        server: 'PeerServer',
    ) -> None:
        self.own = own
        self.incarnation = incarnation
        self.guard = guard
        self.entry = entry
        self.keeper = keeper
        self.server = server
        self.arrivals = RateMeter()
        self.sent_as_open = False
        self.sent_service = ''
        self.sent_notice: TargetNotice | None = None

    @property
    def _service(self) -> str:
        """The service of the reported target, empty if there is none."""
        report = self.guard.reported_target.report
        return report.service if report else ''

    def update_rates(self, elapsed: float) -> None:
        """Update the arrival rates after an interval of ``elapsed`` seconds."""
        self.arrivals.update(self.entry.arrivals, elapsed)
        self.guard.attribution.decay()

    def send_if_guard_changed(self) -> None:
        """Send the load if the guard, its service or its terms have changed."""
        if (
            self.guard.is_open != self.sent_as_open
            or self._service != self.sent_service
            or self.guard.notice != self.sent_notice
        ):
            self.send()

    def send(self) -> None:
        """Send the load to all entries that have a link to this node."""
        load = self.own_load()
        self.sent_as_open = load.load.is_open
        self.sent_service = load.service
        self.sent_notice = load.load.notice
        self.server.broadcast(encode_frame(FrameKind.LOAD, 0, load))

    def own_load(self) -> NodeLoad:
        """Return what entries get to know about this node."""
        return NodeLoad(
            address=self.own.address,
            domain=self.own.domain,
            service=self._service,
            version=self.keeper.version,
            load=self.guard.load,
        )

    def build_status(self) -> NodeStatus:
        """Return what this node adds to the total of the fleet."""
        guard = self.guard
        load = guard.load
        return NodeStatus(
            service=self._service,
            is_open=load.is_open,
            limit=load.limit,
            waiting=load.waiting,
            run_seconds=round(load.run_seconds, 4),
            arrivals=self.arrivals.reported_rates(),
            costs=[
                RouteCost(
                    route,
                    guard.attribution.calls_per_run(route),
                    round(seconds, 4),
                    guard.attribution.observed_runs(route),
                )
                for route, seconds in guard.meter.run_seconds_by_route.items()
            ],
            returning=guard.returning_slots,
        )
