"""What an entry asks a guard to run."""

from typing import NamedTuple

from boragetrestle_kernel.ids import RequestId


class RunOrder(NamedTuple):
    """One request on its way to a target.

    ``sent_at`` is on the clock of the entry; it tells how long a run was held
    up on its way.
    ``time_left`` and ``goal_left`` are seconds until the caller's time is up
    and until the response-time goal. ``head`` is the request line with the
    headers, without those that the guard adds. ``is_call`` marks the onward
    call of a run that is under way.
    """

    service: str
    route: str
    organisation: str
    request_id: RequestId
    is_call: bool
    may_repeat: bool
    sent_at: float
    time_left: float
    goal_left: float
    head: bytes
    body: bytes
