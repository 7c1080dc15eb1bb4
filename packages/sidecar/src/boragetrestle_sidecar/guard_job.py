"""A run that a guard has taken."""

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
    """Where a run stands; only ``RUNNING`` may have reached the target."""

    WAITING = 'waiting'
    CONNECTING = 'connecting'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclass(slots=True, eq=False)
class GuardJob:
    """One run order with its times on the guard's clock."""

    order: 'RunOrder'
    reply: 'Callable[[Outcome], None]'
    arrived_at: float
    expires_at: float
    goal_at: float
    state: JobState = JobState.WAITING
    started_at: float = 0.0
    connection: 'ServerConnection | None' = None
    calls: 'RunCalls | None' = None
