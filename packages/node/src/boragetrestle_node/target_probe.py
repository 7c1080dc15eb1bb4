"""Probe the target beside a node when calls to it fail."""

import msgspec
import trio

from boragetrestle_kernel.ids import NodeId, TargetId
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.peer_message import peer_message
from boragetrestle_kernel.target_record import TargetRecord, TargetState
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.membership import Membership
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.reachability import accepts

PROBE_SECONDS = 0.5

_FAILED_PROBES = 2
_GOOD_PROBES = 3


@peer_message('target-failed')
class TargetFailed(msgspec.Struct, frozen=True):
    """Tell the node beside a target that connections to it failed."""

    target: str


class TargetProbe:
    """Find out whether the own target accepts connections.

    Nothing is probed while calls get through. Once a caller reports failures,
    a connection is opened twice a second, until some in a row have succeeded.
    A target that accepts none gets no calls from the whole fleet until it
    accepts some again; what its health endpoint says does not count.
    """

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        timeline: Timeline,
        *,
        network: Network,
    ) -> None:
        self.membership = membership
        self.timeline = timeline
        self.network = network
        self.probed: set[TargetId] = set()
        self.count = 0
        self.nursery: trio.Nursery | None = None
        links.on(TargetFailed, self.receive)

    async def run(self) -> None:
        """Run probes until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await trio.sleep_forever()

    async def receive(self, _sender: NodeId, message: TargetFailed) -> None:
        """Start to probe an own target that a caller could not reach."""
        self.suspect(TargetId(message.target))
        await trio.lowlevel.checkpoint()

    def suspect(self, target: TargetId) -> None:
        """Start to probe an own target, unless that is under way."""
        is_own = target in self.membership.own
        if is_own and target not in self.probed and self.nursery is not None:
            self.probed.add(target)
            self.nursery.start_soon(self._probe, target)

    async def _probe(self, target: TargetId) -> None:
        good, failed = 0, 0
        while good < _GOOD_PROBES and target in self.membership.own:
            record = self.membership.own[target]
            self.count += 1
            if await accepts(self.network, record.target_address):
                good, failed = good + 1, 0
                self._mark(record, TargetState.READY)
            else:
                good, failed = 0, failed + 1
                if failed >= _FAILED_PROBES:
                    self._mark(record, TargetState.SUSPECTED)
            await trio.sleep(PROBE_SECONDS)
        self.probed.discard(target)

    def _mark(self, record: TargetRecord, state: TargetState) -> None:
        if record.state not in _PROBED_STATES or record.state is state:
            return
        self.membership.mark(record.target, state)
        self.timeline.record(
            _PROBED_STATES[state],
            reason='probe by the node beside the target',
            service=record.service,
            subject=record.target,
        )


_PROBED_STATES: dict[TargetState, EventKind] = {
    TargetState.READY: EventKind.TARGET_RETURNED,
    TargetState.SUSPECTED: EventKind.TARGET_SUSPECTED,
}
