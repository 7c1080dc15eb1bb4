"""Insert, read and settle claims in the table."""

import secrets
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from boragetrestle_kernel.codec import decode, encode
from boragetrestle_node.claim_record import Claim, ClaimRecord, ClaimState
from boragetrestle_platform.table import (
    ABSENT,
    Check,
    Put,
    Table,
    Transaction,
)
from boragetrestle_platform.write_combiner import WriteCombiner

_NONCE_BYTES = 12
_LAPSE_MARGIN_SECONDS = 5.0


class FoundClaim(NamedTuple):
    """A claim as read, with the store time of the read in seconds."""

    claim: Claim
    store_time: float

    @property
    def is_lapsed(self) -> bool:
        """Whether its holder must have ended, one way or another."""
        return self.store_time > self.claim.record.until


class ClaimTable:
    """Claims as rows; ``store_now`` estimates the store's time in seconds.

    Rows are never deleted before they expire: a deleted row would start again
    at the first version, and a late write of an earlier holder would then pass
    its check.
    """

    def __init__(
        self,
        table: Table,
        combiner: WriteCombiner,
        store_now: Callable[[], float | None],
    ) -> None:
        self.table = table
        self.combiner = combiner
        self.store_now = store_now

    async def prepare(
        self,
        row_key: str,
        *,
        fingerprint: str,
        remaining: float,
    ) -> Claim:
        """Return a claim that is yet to be inserted.

        ``remaining`` is the time in seconds that the call may still run.
        """
        now = self.store_now()
        if now is None:
            now = (await self.table.read([row_key])).store_time
        record = ClaimRecord(
            nonce=secrets.token_hex(_NONCE_BYTES),
            fingerprint=fingerprint,
            until=now + remaining + _LAPSE_MARGIN_SECONDS,
        )
        return Claim(row_key=row_key, version=ABSENT + 1, record=record)

    async def write(self, claim: Claim) -> bool:
        """Write a claim over the version before it; return whether it won.

        Raises ``OutcomeUnknownError`` if the claim may still take effect.
        """
        check = Check(claim.row_key, claim.version - 1)
        put = Put(claim.row_key, encode(claim.record))
        transaction = Transaction(checks=(check,), writes=(put,))
        return (await self.combiner.submit(transaction)).is_committed

    async def find(self, row_key: str) -> FoundClaim | None:
        """Return the claim in a row, ``None`` without one."""
        found = await self.table.read([row_key])
        for row in found.rows:
            record = decode(row.content, ClaimRecord)
            claim = Claim(row_key, row.version, record)
            return FoundClaim(claim, found.store_time)
        return None


def next_claim(
    held: Claim,
    state: ClaimState,
    **changes: object,
) -> Claim:
    """Return the claim that follows a held one in the same row."""
    record = msgspec.structs.replace(held.record, state=state, **changes)
    return Claim(held.row_key, held.version + 1, record)
