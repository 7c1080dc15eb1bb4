"""Table records of calls with an idempotency key."""

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
    """State of a claim; ``RELEASED`` lets another call claim the same key."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


class StoredAnswer(msgspec.Struct, frozen=True):
    """The stored answer of a call.

    A large body is in the object store under ``object_name``, and ``body`` is
    empty then. ``is_kept`` is false if the body was too large or the byte
    budget was used up, so that no body is stored.
    """

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes = b''
    object_name: str = ''
    is_kept: bool = True


class ClaimRecord(msgspec.Struct, frozen=True):
    """The content of a claim's row in the table.

    ``nonce`` is random and distinguishes the claims of calls that share a key.
    ``until`` is the store time in seconds after which a running call counts as
    lost; the retention time of the record starts there.
    """

    nonce: str
    fingerprint: str
    until: float
    state: ClaimState = ClaimState.RUNNING
    answer: StoredAnswer | None = None


class Claim(msgspec.Struct, frozen=True):
    """A claim with the key of its row and the version of the row."""

    row_key: str
    version: int
    record: ClaimRecord


def claim_row_key(call: Call) -> str:
    """Build the key of a call's row in the table.

    It covers organisation, service, route and idempotency key.
    """
    parts = (
        call.organisation,
        call.service,
        call.route.method,
        call.route.path,
        call.idempotency_key,
    )
    return CLAIM_PREFIX + _digest(part.encode() for part in parts)


def fingerprint(request: HttpRequest, body: bytes) -> str:
    """Digest method, target and body, which must be equal in a repeat."""
    return _digest((request.method, request.target, body))


def _digest(parts: Iterable[bytes]) -> str:
    """Digest parts with their lengths, so that part boundaries count."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
