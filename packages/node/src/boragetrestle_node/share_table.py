"""Take, renew and hand back shares through the table."""

from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import NamedTuple

import trio

from boragetrestle_kernel.codec import decode, encode
from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.held_share import HeldShare
from boragetrestle_node.share_record import ShareRecord, share_row_key
from boragetrestle_node.share_terms import DRIFT, ShareTerms, holder_seconds
from boragetrestle_node.token_share import TokenShare
from boragetrestle_platform.guarded_table import GuardedTable
from boragetrestle_platform.table import (
    ABSENT,
    Check,
    Put,
    Row,
    Transaction,
)
from boragetrestle_platform.write_combiner import WriteCombiner


class ShareId(NamedTuple):
    """One share of an organisation."""

    organisation: str
    share: int

    @property
    def row_key(self) -> str:
        """The key of the share's row."""
        return share_row_key(self.organisation, self.share)


class Taken(NamedTuple):
    """A share that was taken, or the address of the node that holds it."""

    held: HeldShare | None
    holder: str = ''


class _Found(NamedTuple):
    record: ShareRecord | None
    version: int
    store_time: float


class ShareTable:
    """The rows of shares, as one process of a node uses them.

    A tenure counts from before its write was sent, up to what the answer tells
    is left of it in the store's time. ``started_at`` is when this process had
    bound the addresses of its node. The row says when it ends; until then no
    other node takes the share.
    """

    def __init__(
        self,
        table: GuardedTable,
        combiner: WriteCombiner,
        *,
        terms: ShareTerms,
        node: NodeId,
        address: str,
        session: str,
    ) -> None:
        self.table = table
        self.combiner = combiner
        self.terms = terms
        self.node = node
        self.address = address
        self.session = session
        self.started_at = trio.current_time()

    async def take(
        self,
        wanted: Mapping[ShareId, Organisation],
    ) -> dict[ShareId, Taken]:
        """Take the shares that are free; raise ``StoreError`` without a store.

        A share whose own write fails is left out.
        """
        outcomes: dict[ShareId, Taken] = {}
        if not wanted:
            return outcomes
        found = await self._find(list(wanted))
        async with trio.open_nursery() as nursery:
            for key, organisation in wanted.items():
                nursery.start_soon(
                    self._take_found,
                    key,
                    organisation,
                    found[key],
                    outcomes,
                )
        return outcomes

    async def renew(self, key: ShareId, held: HeldShare) -> bool:
        """Begin a new tenure; return whether the share is still held."""
        now = self.table.earliest_store_time()
        if now is None:
            return True
        record = self._record(now)
        valid_until = await self._write(key, held.version, record)
        if valid_until is None:
            return await self._adopt(key, held)
        held.version += 1
        held.valid_until = max(held.valid_until, valid_until)
        return True

    async def hand_back(
        self,
        held_shares: Sequence[tuple[ShareId, HeldShare]],
    ) -> None:
        """Free shares, with their tokens, once their leases have lapsed."""
        store_now = self.table.latest_store_time()
        if store_now is None:
            return
        now = trio.current_time()
        async with trio.open_nursery() as nursery:
            for key, held in held_shares:
                lapses = [lease.lapses_at for lease in held.leases.values()]
                left = max([now, *lapses]) - now
                record = ShareRecord(
                    node='',
                    session=self.session,
                    address='',
                    until=store_now + left * (1 + DRIFT) + DRIFT,
                    tokens=held.free.tokens,
                )
                nursery.start_soon(self._hand_back, key, held, record)

    async def _hand_back(
        self,
        key: ShareId,
        held: HeldShare,
        record: ShareRecord,
    ) -> None:
        is_written = await self._write(key, held.version, record)
        if is_written is None and await self._adopt(key, held):
            await self._write(key, held.version, record)

    async def _adopt(self, key: ShareId, held: HeldShare) -> bool:
        """Follow a row that an earlier write without an answer changed."""
        found = (await self._find([key]))[key]
        record = found.record
        if record is None or record.session != self.session or not record.node:
            return False
        held.version = found.version
        return True

    async def _take_found(
        self,
        key: ShareId,
        organisation: Organisation,
        found: _Found,
        outcomes: dict[ShareId, Taken],
    ) -> None:
        if found.record is not None and self._is_taken(found):
            outcomes[key] = Taken(None, found.record.address)
            return
        tokens = self._tokens(found, organisation)
        starts_at = max(trio.current_time(), self._quarantine_end(found))
        record = self._record(found.store_time)
        with suppress(StoreError):
            valid_until = await self._write(key, found.version, record)
            if valid_until is None:
                return
            free = TokenShare(
                rate=self.terms.fraction,
                burst=self.terms.fraction,
                tokens=tokens,
                now=starts_at,
            )
            outcomes[key] = Taken(
                HeldShare(
                    terms=self.terms,
                    free=free,
                    valid_until=valid_until,
                    version=found.version + 1,
                ),
            )

    async def _find(self, keys: Sequence[ShareId]) -> dict[ShareId, _Found]:
        found = await self.table.read([key.row_key for key in keys])
        rows = {row.key: row for row in found.rows}
        return {
            key: _read_row(rows.get(key.row_key), found.store_time)
            for key in keys
        }

    def _is_taken(self, found: _Found) -> bool:
        record = found.record
        if record is None or record.node == self.node:
            return False
        return found.store_time <= record.until

    def _tokens(self, found: _Found, organisation: Organisation) -> float:
        """Return the tokens of a share that nobody has used for a time."""
        record = found.record
        most = self.terms.fraction * organisation.burst
        if record is None:
            return most
        idle = max(0, found.store_time - record.until)
        accrued = idle * self.terms.fraction * organisation.rate
        return min(most, record.tokens + accrued)

    def _quarantine_end(self, found: _Found) -> float:
        """Return until when leases of an earlier process may live.

        A process that has bound the addresses of its node is the only one, so
        the share of an earlier process of the node is taken at once.
        """
        record = found.record
        if record is None or record.node != self.node:
            return 0
        if record.session == self.session:
            return trio.current_time() + self.terms.longest_lease
        return self.started_at + self.terms.longest_lease

    def _record(self, store_now: float) -> ShareRecord:
        return ShareRecord(
            node=self.node,
            session=self.session,
            address=self.address,
            until=store_now + self.terms.tenure,
        )

    async def _write(
        self,
        key: ShareId,
        version: int,
        record: ShareRecord,
    ) -> float | None:
        """Return until when the record holds on this node's clock."""
        sent_at = trio.current_time()
        check = Check(key.row_key, version)
        put = Put(key.row_key, encode(record))
        transaction = Transaction(checks=(check,), writes=(put,))
        committed = await self.combiner.submit(transaction)
        if not committed.is_committed:
            return None
        left = record.until - committed.store_time
        return sent_at + holder_seconds(left)


def _read_row(row: Row | None, store_time: float) -> _Found:
    if row is None:
        return _Found(None, ABSENT, store_time)
    record = decode(row.content, ShareRecord)
    return _Found(record, row.version, store_time)
