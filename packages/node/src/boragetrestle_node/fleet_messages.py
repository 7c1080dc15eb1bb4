"""Messages that keep nodes in agreement on members and configuration.

All of them are array-like, which keeps them short on the wire.
"""

import msgspec

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import Incarnation, NodeId, Version
from boragetrestle_kernel.member_record import MemberRecord, Verdict
from boragetrestle_kernel.peer_message import peer_message


@peer_message('hb')
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Tell a neighbour that this node runs and what it knows.

    ``store_time`` is the store's time in seconds of the newest confirmed read
    of the head; ``confirmed`` is the version that this read showed.
    """

    incarnation: Incarnation
    version: Version
    store_time: float
    confirmed: Version
    digest: int


@peer_message('rumours')
class Rumours(msgspec.Struct, frozen=True, array_like=True):
    """Pass on news about nodes."""

    records: tuple[MemberRecord, ...] = ()
    verdicts: tuple[Verdict, ...] = ()


@peer_message('members?')
class MembersAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask for records; no digests ask for all of them."""

    digests: tuple[int, ...] = ()


@peer_message('members')
class MembersReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer with the records of the buckets that differ."""

    buckets: tuple[int, ...]
    records: tuple[MemberRecord, ...]


@peer_message('probe?')
class ProbeAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask a node to reach another, which answers with a ``ProbeReply``.

    Without an address the asked node itself answers.
    """

    address: Address | None = None


@peer_message('probe')
class ProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """Tell whether the node was reached."""

    is_reached: bool


@peer_message('changes?')
class ChangesAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask for the changes that follow a version."""

    after: Version


@peer_message('changes')
class ChangesReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer with encoded changes, after a snapshot where one is needed."""

    rows: tuple[bytes, ...] = ()
    snapshot: bytes = b''


@peer_message('acks?')
class AcksAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask a node and those behind it who has reached a version.

    ``wave`` is the same in all messages of one question. ``patience`` is the
    time in seconds that the asked node may take.
    """

    wave: str
    version: Version
    patience: float


@peer_message('acks')
class AcksReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer with the nodes that were asked, by outcome."""

    reached: tuple[NodeId, ...] = ()
    behind: tuple[NodeId, ...] = ()


@peer_message('fresh?')
class FreshnessAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask how much a node knows about the store."""


@peer_message('fresh')
class FreshnessReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer with a bound on the store's time and failed reads.

    ``store_now`` is the latest time in seconds that the store's clock may show
    at the moment of the answer. ``lost`` gives for each failure domain the age
    in seconds of the newest failed read.
    """

    store_now: float | None
    lost: dict[str, float] = {}
