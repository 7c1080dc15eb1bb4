"""Know the load of all targets of the services beside a node."""

from collections.abc import Callable, Mapping

import msgspec
import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import NodeId, ServiceName, TargetId
from boragetrestle_kernel.peer_message import peer_message
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.directory import Directory
from boragetrestle_node.guard_signal import GuardSignal
from boragetrestle_node.level_table import LevelTable
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.wanted_targets import TargetLoad, WantedTargets

_INTERVAL_SECONDS = 1.0
_RESEND_SECONDS = 10.0
_CHANGED_SHARE = 0.1
_SMOOTHING = 0.3
_MOST_PEERS = 32


@peer_message('target-load')
class LoadReport(msgspec.Struct, frozen=True):
    """Calls that run or wait at a target, smoothed over some seconds."""

    target: str
    busy: float


class ServiceLoad:
    """Exchange the load of targets among the nodes of one service.

    A node tells the other nodes of its service when its load has changed by a
    tenth of its slots, and now and then. All of them come to the same number
    of wanted targets.
    """

    def __init__(
        self,
        own: Mapping[TargetId, TargetRecord],
        links: PeerLinks,
        directory: Directory,
        levels: LevelTable,
        *,
        signals: Callable[[], Mapping[TargetId, GuardSignal]],
    ) -> None:
        self.own = own
        self.links = links
        self.directory = directory
        self.levels = levels
        self.signals = signals
        self.busy: dict[TargetId, float] = {}
        self.told: dict[TargetId, tuple[float, float]] = {}
        self.services: dict[ServiceName, WantedTargets] = {}
        links.on(LoadReport, self.receive)

    async def run(self) -> None:
        """Follow the load until cancelled."""
        while True:
            await trio.sleep(_INTERVAL_SECONDS)
            self.update()

    def update(self) -> None:
        """Take the load of own targets and decide on their services."""
        signals = self.signals()
        for target, record in tuple(self.own.items()):
            signal = signals.get(target)
            now_busy = signal.in_use + signal.queued if signal else 0
            before = self.busy.get(target, 0)
            self.busy[target] = before + _SMOOTHING * (now_busy - before)
            self._tell(record)
            wanted = self.services.setdefault(
                record.service,
                WantedTargets(),
            )
            wanted.update(
                self._loads(record.service),
                now=trio.current_time(),
            )
        self._forget()

    def wanted(self) -> dict[ServiceName, int]:
        """Return the wanted number of targets by service."""
        return {
            service: wanted.count for service, wanted in self.services.items()
        }

    async def receive(self, _sender: NodeId, message: LoadReport) -> None:
        """Take the load of another target."""
        self.busy[TargetId(message.target)] = message.busy
        await trio.lowlevel.checkpoint()

    def _loads(self, service: ServiceName) -> list[TargetLoad]:
        return [
            TargetLoad(
                self.busy.get(record.target, 0),
                record.slots,
                is_shedding=self.levels.is_limited(record.target),
            )
            for record in self.directory.ready(service)
        ]

    def _tell(self, record: TargetRecord) -> None:
        now = trio.current_time()
        busy = self.busy[record.target]
        told, told_at = self.told.get(record.target, (0.0, -_RESEND_SECONDS))
        has_changed = abs(busy - told) > _CHANGED_SHARE * record.slots
        if not has_changed and now < told_at + _RESEND_SECONDS:
            return
        self.told[record.target] = (busy, now)
        report = LoadReport(record.target, round(busy, 1))
        for peer in self.directory.ready(record.service)[:_MOST_PEERS]:
            if peer.node != record.node:
                self.links.send(Address.parse(peer.node_peers), report)

    def _forget(self) -> None:
        """Drop what left the directory."""
        known = self.directory.records
        self.busy = {
            target: busy
            for target, busy in self.busy.items()
            if target in known
        }
        present = {record.service for record in self.own.values()}
        for service in set(self.services) - present:
            self.services.pop(service)
