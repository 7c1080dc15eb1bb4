"""Run a suspect while no other suspect runs at its target."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.call import Call
from boragetrestle_node.fingerprint import Fingerprint
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.suspect_messages import (
    ExclusiveRunEnd,
    ExclusiveRunRequest,
)

_ANSWER_TIMEOUT_SECONDS = 0.5
_RETRY_INTERVAL_SECONDS = 0.02


class ExclusiveRuns:
    """Acquire leases from the nodes beside targets, for suspects to run."""

    def __init__(self, links: PeerLinks) -> None:
        self.links = links
        self.held: set[tuple[Fingerprint, TargetId]] = set()

    @asynccontextmanager
    async def hold(
        self,
        call: Call,
        suspect: Fingerprint,
        target: TargetRecord,
    ) -> AsyncGenerator[bool, None]:
        """Lease a target for a suspect; yield whether it may run there."""
        is_granted = await self._acquire_lease(call, suspect, target)
        if not is_granted:
            yield False
            return
        held = (suspect, target.target)
        self.held.add(held)
        try:
            yield True
        finally:
            self.held.discard(held)
            self._release_lease(suspect, target)

    async def _acquire_lease(
        self,
        call: Call,
        suspect: Fingerprint,
        target: TargetRecord,
    ) -> bool:
        address = Address.parse(target.node_peers)
        while call.remaining > _RETRY_INTERVAL_SECONDS:
            request = ExclusiveRunRequest(
                suspect, target.target, call.remaining
            )
            answer = await self.links.ask(
                address,
                request,
                timeout=_ANSWER_TIMEOUT_SECONDS,
            )
            if answer is None or answer.is_granted:
                return answer is not None
            await trio.sleep(_RETRY_INTERVAL_SECONDS)
        return False

    def _release_lease(
        self,
        suspect: Fingerprint,
        target: TargetRecord,
    ) -> None:
        self.links.send(
            Address.parse(target.node_peers),
            ExclusiveRunEnd(suspect, target.target),
        )
