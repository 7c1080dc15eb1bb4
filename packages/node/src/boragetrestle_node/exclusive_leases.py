"""Leases that let one suspect at a time run at each target."""

from typing import NamedTuple

import trio

from boragetrestle_kernel.ids import NodeId
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.suspect_messages import (
    ExclusiveRunAnswer,
    ExclusiveRunEnd,
    ExclusiveRunRequest,
)

MAX_LEASE_SECONDS = 30.0


class ExclusiveLease(NamedTuple):
    """The right of a suspect to run at a target without other suspects.

    ``expires_at`` is on trio's clock.
    """

    holder: NodeId
    fingerprint: str
    expires_at: float


class ExclusiveLeases:
    """Lease each target beside this node to one suspect at a time."""

    def __init__(self, links: PeerLinks) -> None:
        self.leases: dict[str, ExclusiveLease] = {}
        links.on(ExclusiveRunRequest, self.grant)
        links.on(ExclusiveRunEnd, self.end)

    async def grant(
        self,
        holder: NodeId,
        message: ExclusiveRunRequest,
    ) -> ExclusiveRunAnswer:
        """Grant a lease unless the target is leased already."""
        now = trio.current_time()
        lease = self.leases.get(message.target)
        if lease is not None and now < lease.expires_at:
            return ExclusiveRunAnswer(is_granted=False)
        lease_seconds = min(MAX_LEASE_SECONDS, message.seconds)
        self.leases[message.target] = ExclusiveLease(
            holder,
            message.fingerprint,
            now + lease_seconds,
        )
        return ExclusiveRunAnswer(is_granted=True)

    async def end(self, holder: NodeId, message: ExclusiveRunEnd) -> None:
        """Release the lease of a suspect that has stopped running."""
        lease = self.leases.get(message.target)
        if lease is None or lease.holder != holder:
            return
        if lease.fingerprint == message.fingerprint:
            self.leases.pop(message.target)

    def holds(self, fingerprint: str, target: str) -> bool:
        """Return whether the last lease of a target is this suspect's."""
        lease = self.leases.get(target)
        return lease is not None and lease.fingerprint == fingerprint
