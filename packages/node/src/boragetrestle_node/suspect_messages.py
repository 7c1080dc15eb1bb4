"""Messages between nodes about requests that kill targets."""

import msgspec

from boragetrestle_kernel.peer_message import peer_message
from boragetrestle_node.suspect import Death


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """A request that was running when a target died."""

    fingerprint: str
    death: Death
    ran_apart: bool


@peer_message('suspects')
class SuspectReports(msgspec.Struct, frozen=True):
    """Deaths that are news to the sender."""

    reports: list[SuspectReport]


@peer_message('suspect-cleared')
class SuspectCleared(msgspec.Struct, frozen=True):
    """A suspect that ran to its end."""

    fingerprint: str


@peer_message('run-apart')
class RunApart(msgspec.Struct, frozen=True):
    """Ask the node beside a target to run no other suspect there.

    ``seconds`` bounds the time if the end is never told.
    """

    fingerprint: str
    target: str
    seconds: float


@peer_message('run-apart-answer')
class RunApartAnswer(msgspec.Struct, frozen=True):
    """Whether the suspect may run now."""

    is_granted: bool


@peer_message('run-apart-end')
class RunApartEnd(msgspec.Struct, frozen=True):
    """Tell that a suspect has stopped running at a target."""

    fingerprint: str
    target: str
