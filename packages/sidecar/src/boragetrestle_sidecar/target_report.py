"""Heartbeats, in which a target describes itself."""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_kernel.ids import DomainName, ServiceName, TargetId


class TargetState(Enum):
    """Whether a target accepts requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class TargetReport:
    """One heartbeat of a target.

    ``started_at`` is the wall time of the target's start in milliseconds and
    tells its incarnations apart; ``sequence`` counts reports within one.
    ``cold_seconds`` is how much longer it stays slow after its start.
    """

    target: 'TargetId'
    service: 'ServiceName'
    address: 'Address'
    domain: 'DomainName'
    slots: int
    state: TargetState
    started_at: int
    sequence: int
    cold_seconds: float = 0.0

    @property
    def incarnation(self) -> 'tuple[TargetId, int]':
        """The id and start, which one lifetime has for itself."""
        return (self.target, self.started_at)

    @property
    def sort_key(self) -> tuple[int, int]:
        """The sort key that orders all reports of a host by age."""
        return (self.started_at, self.sequence)
