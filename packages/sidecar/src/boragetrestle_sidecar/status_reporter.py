"""Send the status of this node to all nodes, several times a second."""

from typing import TYPE_CHECKING

from boragetrestle_sidecar.node_status import NodeStatus, RouteCost
from boragetrestle_sidecar.peer_frames import FrameKind, encode_frame
from boragetrestle_sidecar.rate_meter import RateMeter

if TYPE_CHECKING:
    from boragetrestle_sidecar.config_keeper import ConfigKeeper
    from boragetrestle_sidecar.entry import Entry
    from boragetrestle_sidecar.fleet import Fleet
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.path_settings import PathSettings
    from boragetrestle_sidecar.peer_server import PeerServer


class StatusReporter:
    """Measure arrival rates and send the status of this node.

    Nodes connect to this node's peer server; the status goes out over all its
    open connections.
    """

    def __init__(
        self,
        settings: 'PathSettings',
        *,
        incarnation: int,
        guard: 'Guard',
        entry: 'Entry',
        fleet: 'Fleet',
        keeper: 'ConfigKeeper',
        server: 'PeerServer',
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.guard = guard
        self.entry = entry
        self.fleet = fleet
        self.keeper = keeper
        self.server = server
        self.arrivals = RateMeter()
        self.sent_as_open = False

    def update_rates(self, elapsed: float) -> None:
        """Update the arrival rates after an interval of ``elapsed`` seconds."""
        self.arrivals.update(self.entry.arrivals, elapsed)
        self.guard.attribution.decay()

    def send_if_guard_changed(self) -> None:
        """Send the status if the guard opened or closed since the last one."""
        if self.guard.is_open != self.sent_as_open:
            self.send()

    def send(self) -> None:
        """Send the status to all nodes and record it in this node's fleet."""
        status = self.build_status()
        self.sent_as_open = status.is_open
        self.fleet.update_status(status)
        self.server.broadcast(encode_frame(FrameKind.STATUS, 0, status))

    def build_status(self) -> NodeStatus:
        """Return the current status of this node."""
        guard = self.guard
        report = guard.reported_target.report
        load = guard.load
        return NodeStatus(
            address=self.fleet.address,
            domain=self.settings.domain,
            version=self.keeper.version,
            service=report.service if report else '',
            is_open=guard.is_open,
            limit=load.limit,
            running=load.running,
            waiting=load.waiting,
            run_seconds=round(load.run_seconds, 4),
            failing_share=load.failing_share,
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
        )
