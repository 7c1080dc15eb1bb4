"""A call that waits in the queue of a guard."""

from enum import Enum

import trio

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.ids import OrgId


class WaiterState(Enum):
    """State of a queued call; it leaves ``WAITING`` once."""

    WAITING = 'waiting'
    GRANTED = 'granted'
    SHED = 'shed'


class Waiter:
    """One queued call; its times are read from the trio clock.

    ``cost`` is the expected duration of the call at the target in seconds.
    """

    __slots__ = (
        'call_class',
        'cost',
        'decided',
        'give_up_at',
        'organisation',
        'queued_at',
        'state',
    )

    def __init__(
        self,
        organisation: OrgId,
        call_class: CallClass,
        *,
        queued_at: float,
        give_up_at: float,
        cost: float = 0,
    ) -> None:
        self.organisation = organisation
        self.call_class = call_class
        self.queued_at = queued_at
        self.give_up_at = give_up_at
        self.cost = cost
        self.state = WaiterState.WAITING
        self.decided = trio.Event()

    def decide(self, state: WaiterState) -> None:
        """Set the final state and wake the waiting call."""
        self.state = state
        self.decided.set()
