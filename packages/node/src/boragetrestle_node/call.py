"""One call on its way through a node."""

from dataclasses import dataclass

import trio

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.ids import CallId, KeyId, OrgId, ServiceName
from boragetrestle_kernel.service_text import Route

GUARDED = 'guarded hop'
ONWARD = 'onward call'


@dataclass(slots=True)
class Call:
    """What a node decides by, from entry to answer.

    ``deadline`` is on the clock of trio. ``attempts_left`` bounds the attempts
    of the whole chain below this call. ``depth`` is 0 at the entry of a chain.
    ``is_sent`` tells whether a byte of the call may have reached a target.
    ``is_guarded`` marks a call that another node has admitted and sent to the
    guard of the target beside this node.
    """

    call_id: CallId
    organisation: OrgId
    key_id: KeyId
    service: ServiceName
    route: Route
    call_class: CallClass
    deadline: float
    attempts_left: int
    depth: int = 0
    idempotency_key: str = ''
    is_sent: bool = False
    is_guarded: bool = False

    @property
    def origin(self) -> str:
        """What sent the call here, empty for a caller outside the fleet."""
        if self.is_guarded:
            return GUARDED
        return ONWARD if self.depth else ''

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - trio.current_time()
