"""Take, renew and release shares of rates through the store's table."""

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
from boragetrestle_node.share_terms import MAX_DRIFT, ShareTerms, usable_seconds
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
    """Name one share of an organisation's rate."""

    organisation: str
    share: int

    @property
    def row_key(self) -> str:
        """The key of the share's row."""
        return share_row_key(self.organisation, self.share)


class TakeOutcome(NamedTuple):
    """Hold a share that was taken, or the address of its present holder."""

    held: HeldShare | None
    holder: str = ''


class _StoredShare(NamedTuple):
    record: ShareRecord | None
    version: int
    store_time: float


class ShareTable:
    """Read and write the rows of shares for one process of a node.

    A tenure is the time for which a row grants a share to a node; the row says
    when it ends, and until then no other node takes the share. The holder
    counts its tenure from before the write was sent, for the time that the
    answer's store time leaves. ``started_at`` is when this process had bound
    the addresses of its node.
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
    ) -> dict[ShareId, TakeOutcome]:
        """Take shares without a holder; raise ``StoreError`` without a store.

        A share whose own write fails is left out.
        """
        outcomes: dict[ShareId, TakeOutcome] = {}
        if not wanted:
            return outcomes
        found = await self._read_shares(list(wanted))
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
        """Write a new tenure; return whether the share is still held."""
        now = self.table.earliest_store_time()
        if now is None:
            return True
        record = self._new_record(now)
        valid_until = await self._write(key, held.version, record)
        if valid_until is None:
            return await self._refresh_version(key, held)
        held.version += 1
        held.valid_until = max(held.valid_until, valid_until)
        return True

    async def release(
        self,
        held_shares: Sequence[tuple[ShareId, HeldShare]],
    ) -> None:
        """Write that shares are free, with their tokens, once leases lapse."""
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
                    until=store_now + left * (1 + MAX_DRIFT) + MAX_DRIFT,
                    tokens=held.free.tokens,
                )
                nursery.start_soon(self._release, key, held, record)

    async def _release(
        self,
        key: ShareId,
        held: HeldShare,
        record: ShareRecord,
    ) -> None:
        is_written = await self._write(key, held.version, record)
        if is_written is None and await self._refresh_version(key, held):
            await self._write(key, held.version, record)

    async def _refresh_version(self, key: ShareId, held: HeldShare) -> bool:
        """Read the row's version again, in case an unanswered write changed it.

        Returns whether this process still holds the share.
        """
        found = (await self._read_shares([key]))[key]
        record = found.record
        if record is None or record.session != self.session or not record.node:
            return False
        held.version = found.version
        return True

    async def _take_found(
        self,
        key: ShareId,
        organisation: Organisation,
        found: _StoredShare,
        outcomes: dict[ShareId, TakeOutcome],
    ) -> None:
        if found.record is not None and self._is_held_elsewhere(found):
            outcomes[key] = TakeOutcome(None, found.record.address)
            return
        tokens = self._initial_tokens(found, organisation)
        starts_at = max(trio.current_time(), self._earlier_leases_end(found))
        record = self._new_record(found.store_time)
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
            outcomes[key] = TakeOutcome(
                HeldShare(
                    terms=self.terms,
                    free=free,
                    valid_until=valid_until,
                    version=found.version + 1,
                ),
            )

    async def _read_shares(
        self, keys: Sequence[ShareId]
    ) -> dict[ShareId, _StoredShare]:
        found = await self.table.read([key.row_key for key in keys])
        rows = {row.key: row for row in found.rows}
        return {
            key: _decode_row(rows.get(key.row_key), found.store_time)
            for key in keys
        }

    def _is_held_elsewhere(self, found: _StoredShare) -> bool:
        record = found.record
        if record is None or record.node == self.node:
            return False
        return found.store_time <= record.until

    def _initial_tokens(
        self, found: _StoredShare, organisation: Organisation
    ) -> float:
        """Return the tokens of a share, with those accrued since its tenure."""
        record = found.record
        most = self.terms.fraction * organisation.burst
        if record is None:
            return most
        idle = max(0, found.store_time - record.until)
        accrued = idle * self.terms.fraction * organisation.rate
        return min(most, record.tokens + accrued)

    def _earlier_leases_end(self, found: _StoredShare) -> float:
        """Return when leases from an earlier tenure of this node have lapsed.

        Only one process at a time can bind the addresses of a node, so a share
        of an earlier process of the node is taken at once. Leases that this
        process granted may still hold, so it grants no tokens before that time.
        """
        record = found.record
        if record is None or record.node != self.node:
            return 0
        if record.session == self.session:
            return trio.current_time() + self.terms.longest_lease
        return self.started_at + self.terms.longest_lease

    def _new_record(self, store_now: float) -> ShareRecord:
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
        """Write a row; return the end of its tenure on this node's clock.

        Returns ``None`` if the row has another version by now.
        """
        sent_at = trio.current_time()
        check = Check(key.row_key, version)
        put = Put(key.row_key, encode(record))
        transaction = Transaction(checks=(check,), writes=(put,))
        committed = await self.combiner.submit(transaction)
        if not committed.is_committed:
            return None
        left = record.until - committed.store_time
        return sent_at + usable_seconds(left)


def _decode_row(row: Row | None, store_time: float) -> _StoredShare:
    if row is None:
        return _StoredShare(None, ABSENT, store_time)
    record = decode(row.content, ShareRecord)
    return _StoredShare(record, row.version, store_time)
