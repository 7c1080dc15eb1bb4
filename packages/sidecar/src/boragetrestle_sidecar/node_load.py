"""What a guard tells the entries that have a link to it."""

from typing import NamedTuple

from boragetrestle_sidecar.outcome import GuardLoad


class NodeLoad(NamedTuple):
    """A node's identity, its configuration's version and its guard's load."""

    address: str
    domain: str
    service: str
    version: int
    load: GuardLoad
