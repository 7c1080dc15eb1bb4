"""What a target tells the node beside it."""

from typing import Annotated, Literal

import msgspec

_MAX_COUNT = 1_000_000

Count = Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A target's service, address and capacity."""

    service: str
    address: str
    slots: Count
    connections: Count
    state: Literal['ready', 'draining', 'gone'] = 'ready'
