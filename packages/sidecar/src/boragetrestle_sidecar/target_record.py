"""What a node keeps in the store about the target beside it."""

from typing import TYPE_CHECKING

import msgspec

from boragetrestle_kernel.json_decoding import decode_json
from boragetrestle_sidecar.peer_numbers import Count

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import TargetId

MAX_SAVED_LEAVES = 8  # an address has one target at a time


class TargetRecord(msgspec.Struct, frozen=True):
    """Facts about a target that hold also after its node has restarted.

    Reports of targets that started before ``started_at``, and those of this
    start before ``sequence``, are outdated; ``service`` is that of the target
    which made them so, and is missing in records of earlier builds, which may come
    from another writer. ``left`` holds the targets that
    leave with the start of the incarnation, ``left_by`` those that left before
    they reported with the time of the call. All times are milliseconds of the
    wall clock.

    >>> record = TargetRecord(5000, 3, left={'t-1': 5000})
    >>> decode_record(record.encode()) == record
    True
    """

    started_at: Count = 0
    sequence: Count = 0
    left: dict[str, Count] = {}
    left_by: dict[str, Count] = {}
    service: str | msgspec.UnsetType = msgspec.UNSET

    def encode(self) -> bytes:
        """Return the content of the record's row, a JSON object."""
        return msgspec.json.encode(self)


def decode_record(content: bytes) -> TargetRecord:
    """Decode the content of a record's row, also one of a newer build.

    Raises ``msgspec.DecodeError`` for a row that a node cannot have written.
    """
    return decode_json(content, TargetRecord)


def newest_leaves(leaves: 'dict[TargetId, int]') -> dict[str, int]:
    """Return those of the leaves that a record keeps.

    >>> len(newest_leaves({f't-{time}': time for time in range(20)}))
    8
    """
    by_time = sorted(leaves.items(), key=lambda leave: leave[1])
    return dict(by_time[-MAX_SAVED_LEAVES:])
