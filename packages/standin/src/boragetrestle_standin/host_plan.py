"""What runs on one host of a stand-in fleet."""

from typing import NamedTuple

import msgspec


class OnwardCall(msgspec.Struct, frozen=True):
    """An onward call that the target makes for each call that it serves."""

    method: str
    path: str


class HostPlan(NamedTuple):
    """What runs on one host; ``work`` is the time of a call in seconds.

    ``peers`` are addresses of other nodes that the settings name.
    """

    service: str
    domain: str = 'a'
    region: str = ''
    slots: int = 50
    connections: int = 400
    work: float = 0
    body: bytes = b'ok'
    onward: tuple[OnwardCall, ...] = ()
    peers: tuple[str, ...] = ()
