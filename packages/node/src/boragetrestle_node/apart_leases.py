"""Run suspects one at a time at each target."""

from typing import NamedTuple

import trio

from boragetrestle_kernel.ids import NodeId
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.suspect_messages import (
    RunApart,
    RunApartAnswer,
    RunApartEnd,
)

MAX_LEASE_SECONDS = 30.0


class ApartLease(NamedTuple):
    """The suspect that runs at a target until a time on trio's clock."""

    holder: NodeId
    fingerprint: str
    expires_at: float


class ApartLeases:
    """Grant the targets beside this node to one suspect at a time."""

    def __init__(self, links: PeerLinks) -> None:
        self.leases: dict[str, ApartLease] = {}
        links.on(RunApart, self.grant)
        links.on(RunApartEnd, self.end)

    async def grant(
        self,
        holder: NodeId,
        message: RunApart,
    ) -> RunApartAnswer:
        """Grant a lease unless another suspect holds the target."""
        now = trio.current_time()
        lease = self.leases.get(message.target)
        if lease is not None and now < lease.expires_at:
            return RunApartAnswer(is_granted=False)
        lasts = min(MAX_LEASE_SECONDS, message.seconds)
        self.leases[message.target] = ApartLease(
            holder,
            message.fingerprint,
            now + lasts,
        )
        return RunApartAnswer(is_granted=True)

    async def end(self, holder: NodeId, message: RunApartEnd) -> None:
        """End the lease of a suspect that has stopped running."""
        lease = self.leases.get(message.target)
        if lease is None or lease.holder != holder:
            return
        if lease.fingerprint == message.fingerprint:
            self.leases.pop(message.target)

    def holds(self, fingerprint: str, target: str) -> bool:
        """Return whether a suspect holds a target."""
        lease = self.leases.get(target)
        return lease is not None and lease.fingerprint == fingerprint
