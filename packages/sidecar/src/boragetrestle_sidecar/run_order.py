"""What an entry asks a guard to run."""

from typing import NamedTuple

from boragetrestle_kernel.ids import RequestId


class RunOrder(NamedTuple):
    """One request that an entry sends to the guard of a target.

    ``sent_at`` is on the clock of the entry; the guard computes from it how
    long the order was delayed on its way.
    ``time_left`` and ``goal_left`` are the seconds until the caller's deadline
    and until the response-time goal. ``head`` is the request line with the
    headers, without those that the guard adds. ``is_call`` marks an onward
    call, which a target makes while it serves another request. A large ``body``
    may be another bytes-like object, so that it needs no copy.
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
