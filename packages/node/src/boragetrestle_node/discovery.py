"""Find the fleet, and mend what news did not bring."""

import random

import msgspec
import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.member_record import (
    NODE_PREFIX,
    MemberRecord,
    member_key,
)
from boragetrestle_kernel.settings import NodeSettings
from boragetrestle_node.fleet_messages import (
    Heartbeat,
    MembersAsk,
    MembersReply,
    Rumours,
)
from boragetrestle_node.members import BUCKETS, Members
from boragetrestle_node.rumour_spread import RumourSpread
from boragetrestle_platform.table import Table

_CONTACTS = 3
_CONTACT_ROWS = 16
_ASK_SECONDS = 2.0
_JOIN_SECONDS = 3.0
_RETRY_SECONDS = (1.0, 3.0)
_MEND_SECONDS = 2.0


class Discovery:
    """Join through peers of the settings and through rows of the table.

    A joining node reads one page of rows, those that follow its own, so that
    many nodes that start together read different rows; a few of these nodes
    then give it all records. Afterwards neighbours whose digests differ for
    two heartbeats exchange the buckets of records in which they differ.
    """

    def __init__(
        self,
        settings: NodeSettings,
        table: Table,
        members: Members,
        spread: RumourSpread,
        *,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.own = NodeId(settings.node)
        self.table = table
        self.members = members
        self.spread = spread
        self.links = spread.neighbours.links
        self.rng = rng
        self.differing: NodeId | None = None
        self.mended_at = 0.0
        self.links.on(MembersAsk, self.answer)

    async def join(self) -> None:
        """Ask peers and the table for the fleet, for a bounded time."""
        with trio.move_on_after(_JOIN_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._join_by_settings)
                nursery.start_soon(self._join_by_table)

    async def run(self) -> None:
        """Join again while this node is alone, until cancelled."""
        while True:
            await trio.sleep(self.rng.uniform(*_RETRY_SECONDS))
            if self.members.present_count < 2:
                await self.join()

    async def answer(self, _sender: NodeId, ask: MembersAsk) -> MembersReply:
        """Answer with the records of buckets that differ."""
        await trio.lowlevel.checkpoint()
        buckets = list(range(BUCKETS))
        if ask.digests:
            buckets = self.members.differing(ask.digests)
        records = self.members.in_buckets(buckets)
        return MembersReply(tuple(buckets), tuple(records))

    def wants_mending(self, sender: NodeId, beat: Heartbeat) -> bool:
        """Note a heartbeat; return whether to compare records with it."""
        if beat.digest == self.members.digest:
            if self.differing == sender:
                self.differing = None
            return False
        is_repeated = self.differing == sender
        self.differing = sender
        now = trio.current_time()
        if not is_repeated or now - self.mended_at < _MEND_SECONDS:
            return False
        self.mended_at = now
        return True

    async def mend(self, address: Address) -> None:
        """Exchange with a node the records in which both differ."""
        ask = MembersAsk(tuple(self.members.digests))
        reply = await self.links.ask(address, ask, timeout=_ASK_SECONDS)
        if not isinstance(reply, MembersReply):
            return
        self.spread.take(*reply.records)
        theirs = {record.node: record.rank for record in reply.records}
        newer = [
            record
            for record in self.members.in_buckets(reply.buckets)
            if record.node not in theirs or record.rank > theirs[record.node]
        ]
        if newer:
            self.links.send(address, Rumours(records=tuple(newer)))

    async def _join_by_settings(self) -> None:
        peers = [Address.parse(peer) for peer in self.settings.peers]
        await self._ask_some(peers)

    async def _join_by_table(self) -> None:
        try:
            records = await self._contact_rows()
        except StoreError:
            return
        self.spread.take(*records)
        await self._ask_some([
            record.peer_address for record in records if record.node != self.own
        ])

    async def _contact_rows(self) -> list[MemberRecord]:
        found = await self.table.scan(
            NODE_PREFIX,
            after=member_key(self.own),
            limit=_CONTACT_ROWS,
        )
        rows = list(found.rows)
        if len(rows) < _CONTACT_ROWS:
            first = await self.table.scan(NODE_PREFIX, limit=_CONTACT_ROWS)
            rows.extend(first.rows)
        return [
            msgspec.json.decode(row.content, type=MemberRecord) for row in rows
        ]

    async def _ask_some(self, addresses: list[Address]) -> None:
        chosen = self.rng.sample(addresses, k=min(_CONTACTS, len(addresses)))
        for address in chosen:
            reply = await self.links.ask(
                address,
                MembersAsk(),
                timeout=_ASK_SECONDS / 2,
            )
            if isinstance(reply, MembersReply):
                self._take_all(reply)
                return

    def _take_all(self, reply: MembersReply) -> None:
        for record in reply.records:
            if (
                record.node != self.own
                and record.node not in self.members.records
            ):
                self.members.remember(record)
        self.spread.take(*reply.records)
