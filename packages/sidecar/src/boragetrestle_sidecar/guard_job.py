"""A run at a guard, with its state."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_sidecar.call_attribution import RunCalls
    from boragetrestle_sidecar.outcome import Outcome
    from boragetrestle_sidecar.run_order import RunOrder
    from boragetrestle_sidecar.server_connection import ServerConnection


class JobState(Enum):
    """The state of a run; it is sent to the target with ``RUNNING``."""

    WAITING = 'waiting'
    CONNECTING = 'connecting'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclass(slots=True, eq=False)
class GuardJob:
    """One run: its order, state and times on the guard's clock.

    ``goal_at`` is the response-time goal and ``expires_at`` the deadline.
    ``in_flight`` counts the runs at the target, with this one, at its start.
    ``calls`` holds the onward calls that are attributed to this run, and
    ``holds_slot`` tells that it counts as one at the target.
    """

    order: 'RunOrder'
    reply: 'Callable[[Outcome], None]'
    arrived_at: float
    expires_at: float
    goal_at: float
    state: JobState = JobState.WAITING
    started_at: float = 0.0
    in_flight: int = 0
    connection: 'ServerConnection | None' = None
    calls: 'RunCalls | None' = None
    holds_slot: bool = False
