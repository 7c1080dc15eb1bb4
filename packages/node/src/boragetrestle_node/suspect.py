"""A request that was running when a target died."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

DEATH_SECONDS = 3.0


class SuspectState(Enum):
    """What is done with a request that was running when a target died.

    A ``SUSPECTED`` one runs apart from other suspects; a ``QUARANTINED`` one
    is refused.
    """

    SUSPECTED = 'suspected'
    QUARANTINED = 'quarantined'


class Death(msgspec.Struct, frozen=True, array_like=True):
    """A target that died at a wall time in seconds."""

    target: str
    died_at: float

    def is_same(self, other: 'Death') -> bool:
        """Return whether two reports tell of one death.

        >>> Death('n:walks', 5.0).is_same(Death('n:walks', 5.5))
        True
        """
        apart = abs(self.died_at - other.died_at)
        return self.target == other.target and apart < DEATH_SECONDS


@dataclass(slots=True)
class Suspect:
    """The deaths at which a request was running.

    ``expires_at`` and ``refused_until`` are on the clock of trio. ``ran_apart``
    tells that it was the only suspect at one of the targets that died.
    """

    expires_at: float
    deaths: list[Death] = field(default_factory=list)
    ran_apart: bool = False
    refused_until: float = 0
    refusals: int = 0

    def knows(self, death: Death) -> bool:
        """Return whether this death was counted."""
        return any(known.is_same(death) for known in self.deaths)

    def shares_deaths(self, other: 'Suspect') -> bool:
        """Return whether the other was running at all of these deaths."""
        return all(other.knows(death) for death in self.deaths)
