"""Ask the whole fleet which nodes have reached a version."""

import uuid
from collections import deque

import trio

from boragetrestle_kernel.acks import Acks
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import NodeId, Version
from boragetrestle_node.fleet_messages import AcksAsk, AcksReply
from boragetrestle_node.members import Members
from boragetrestle_node.neighbours import Neighbours

_PATIENCE_SECONDS = 1.6
_PATIENCE_SHARE = 0.75
_KEPT_WAVES = 64


class AckWave:
    """Ask along the overlay and gather the answers on the way back.

    Each node asks its neighbours in turn and answers once it has heard them,
    or when its patience ends; a node that is reached twice answers the second
    time at once. Every node so sends one question a link.
    """

    def __init__(
        self,
        state: FleetState,
        members: Members,
        neighbours: Neighbours,
    ) -> None:
        self.state = state
        self.members = members
        self.neighbours = neighbours
        self.seen: deque[str] = deque(maxlen=_KEPT_WAVES)
        neighbours.links.on(AcksAsk, self.answer, is_slow=True)

    async def acks(self, version: Version) -> Acks:
        """Return which live nodes have reached a version."""
        ask = AcksAsk(uuid.uuid4().hex, version, _PATIENCE_SECONDS)
        found = await self.answer(self.neighbours.own, ask)
        present = {record.node for record in self.members.present()}
        reached = present.intersection(found.reached)
        behind = present.intersection(found.behind)
        return Acks(
            version=version,
            reached=len(reached),
            behind=tuple(sorted(behind)),
            unheard=tuple(sorted(present - reached - behind)),
        )

    async def answer(self, sender: NodeId, ask: AcksAsk) -> AcksReply:
        """Answer for this node and those that it reached first."""
        if ask.wave in self.seen:
            await trio.lowlevel.checkpoint()
            return AcksReply()
        self.seen.append(ask.wave)
        onward = AcksAsk(
            ask.wave,
            ask.version,
            ask.patience * _PATIENCE_SHARE,
        )
        replies = [self._own(ask.version)]
        source = self.neighbours.address(sender)
        async with trio.open_nursery() as nursery:
            for address in self.neighbours.addresses():
                if address != source:
                    nursery.start_soon(self._ask, address, onward, replies)
        return AcksReply(
            reached=tuple(node for part in replies for node in part.reached),
            behind=tuple(node for part in replies for node in part.behind),
        )

    async def _ask(
        self,
        address: Address,
        ask: AcksAsk,
        replies: list[AcksReply],
    ) -> None:
        reply = await self.neighbours.links.ask(
            address,
            ask,
            timeout=ask.patience,
        )
        if isinstance(reply, AcksReply):
            replies.append(reply)

    def _own(self, version: Version) -> AcksReply:
        own = (self.neighbours.own,)
        if self.state.version >= version:
            return AcksReply(reached=own)
        return AcksReply(behind=own)
