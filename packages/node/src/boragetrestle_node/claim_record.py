"""What the table keeps about one call with an idempotency key."""

import hashlib
from collections.abc import Iterable
from enum import Enum

import msgspec

from boragetrestle_kernel.http_server import HttpRequest
from boragetrestle_node.call import Call

CLAIM_PREFIX = 'claim/'

_DIGEST_BYTES = 20
_LENGTH_BYTES = 8


class ClaimState(Enum):
    """State of a claim; ``RELEASED`` lets the same key run again."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


class KeptAnswer(msgspec.Struct, frozen=True):
    """The answer of a call; ``object_name`` names a body kept elsewhere.

    An answer that is not whole here or there was too large to keep.
    """

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes = b''
    object_name: str = ''
    is_kept: bool = True


class ClaimRecord(msgspec.Struct, frozen=True):
    """One claim; ``nonce`` tells the writes of different calls apart.

    ``until`` is the store time in seconds after which a running call counts as
    lost, and from which the expiry of the record counts.
    """

    nonce: str
    fingerprint: str
    until: float
    state: ClaimState = ClaimState.RUNNING
    answer: KeptAnswer | None = None


class Claim(msgspec.Struct, frozen=True):
    """A claim that this node holds, with its row and the row's version."""

    row_key: str
    version: int
    record: ClaimRecord


def claim_row_key(call: Call) -> str:
    """Return the row key by organisation, service, route and key."""
    parts = (
        call.organisation,
        call.service,
        call.route.method,
        call.route.path,
        call.idempotency_key,
    )
    return CLAIM_PREFIX + _digest(part.encode() for part in parts)


def fingerprint(request: HttpRequest, body: bytes) -> str:
    """Return a digest of what a repeat must have in common."""
    return _digest((request.method, request.target, body))


def _digest(parts: Iterable[bytes]) -> str:
    """Digest parts with their lengths, so that no two lists collide."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
