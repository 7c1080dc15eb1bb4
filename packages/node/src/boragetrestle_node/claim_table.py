"""Insert, read and update claims in the table."""

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
        """Whether the claim's time is over, so its call cannot be running."""
        return self.store_time > self.claim.record.until


class ClaimTable:
    """Store claims as rows with optimistic version checks.

    ``estimate_store_time`` returns the store's time in seconds, ``None`` while
    it is unknown. Rows are never deleted before they expire: the versions of a
    deleted row would start again at the first one, and a late write of an
    earlier holder would then pass its version check.
    """

    def __init__(
        self,
        table: Table,
        combiner: WriteCombiner,
        estimate_store_time: Callable[[], float | None],
    ) -> None:
        self.table = table
        self.combiner = combiner
        self.estimate_store_time = estimate_store_time

    async def build_claim(
        self,
        row_key: str,
        *,
        fingerprint: str,
        remaining: float,
    ) -> Claim:
        """Build a claim without writing it.

        ``remaining`` is the time in seconds left until the call's deadline.
        """
        now = self.estimate_store_time()
        if now is None:
            now = (await self.table.read([row_key])).store_time
        record = ClaimRecord(
            nonce=secrets.token_hex(_NONCE_BYTES),
            fingerprint=fingerprint,
            until=now + remaining + _LAPSE_MARGIN_SECONDS,
        )
        return Claim(row_key=row_key, version=ABSENT + 1, record=record)

    async def write_if_unchanged(self, claim: Claim) -> bool:
        """Write a claim if its row has the version before the claim's.

        Returns whether it was written, false if another writer was faster.

        Raises ``OutcomeUnknownError`` if the claim may still take effect.
        """
        check = Check(claim.row_key, claim.version - 1)
        put = Put(claim.row_key, encode(claim.record))
        transaction = Transaction(checks=(check,), writes=(put,))
        return (await self.combiner.submit(transaction)).is_committed

    async def read_claim(self, row_key: str) -> FoundClaim | None:
        """Read the claim in a row; return ``None`` if there is none."""
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
    """Build the next version of a held claim in the same row."""
    record = msgspec.structs.replace(held.record, state=state, **changes)
    return Claim(held.row_key, held.version + 1, record)
