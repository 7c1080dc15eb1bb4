"""Run suspects apart, from the side of the calling node."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.call import Call
from boragetrestle_node.fingerprint import Fingerprint
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.suspect_messages import RunApart, RunApartEnd

_ASK_SECONDS = 0.5
_POLL_SECONDS = 0.02


class ApartRuns:
    """Hold a target for a suspect, so that no other suspect runs there."""

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
        """Hold a target for a suspect; yield whether it may run there."""
        is_granted = await self._ask(call, suspect, target)
        if not is_granted:
            yield False
            return
        held = (suspect, target.target)
        self.held.add(held)
        try:
            yield True
        finally:
            self.held.discard(held)
            self._end(suspect, target)

    async def _ask(
        self,
        call: Call,
        suspect: Fingerprint,
        target: TargetRecord,
    ) -> bool:
        address = Address.parse(target.node_peers)
        while call.remaining > _POLL_SECONDS:
            question = RunApart(suspect, target.target, call.remaining)
            answer = await self.links.ask(
                address,
                question,
                timeout=_ASK_SECONDS,
            )
            if answer is None or answer.is_granted:
                return answer is not None
            await trio.sleep(_POLL_SECONDS)
        return False

    def _end(
        self,
        suspect: Fingerprint,
        target: TargetRecord,
    ) -> None:
        self.links.send(
            Address.parse(target.node_peers),
            RunApartEnd(suspect, target.target),
        )
