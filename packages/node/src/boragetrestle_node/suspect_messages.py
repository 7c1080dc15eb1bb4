"""Messages between nodes about requests that may have crashed targets."""

import msgspec

from boragetrestle_kernel.peer_message import peer_message
from boragetrestle_node.suspect import Death


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """A request that was running when a target died."""

    fingerprint: str
    death: Death
    ran_exclusively: bool


@peer_message('suspects')
class SuspectReports(msgspec.Struct, frozen=True):
    """Reports that were new to the sender."""

    reports: list[SuspectReport]


@peer_message('suspect-cleared')
class SuspectCleared(msgspec.Struct, frozen=True):
    """Clear a suspect: it ran to its end without harm."""

    fingerprint: str


@peer_message('run-apart')
class ExclusiveRunRequest(msgspec.Struct, frozen=True):
    """Ask the node beside a target to admit no other suspect there.

    The grant lapses after ``seconds`` if ``ExclusiveRunEnd`` doesn't arrive.
    """

    fingerprint: str
    target: str
    seconds: float


@peer_message('run-apart-answer')
class ExclusiveRunAnswer(msgspec.Struct, frozen=True):
    """Whether the suspect may run now."""

    is_granted: bool


@peer_message('run-apart-end')
class ExclusiveRunEnd(msgspec.Struct, frozen=True):
    """Release a target after a suspect has stopped running there."""

    fingerprint: str
    target: str
