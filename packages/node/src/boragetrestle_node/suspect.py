"""A request that was running when a target died."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

SAME_DEATH_SECONDS = 3.0


class SuspectState(Enum):
    """What is done with a request that was running when a target died.

    A ``SUSPECTED`` request doesn't run at a target at the same time as another
    suspect; a ``QUARANTINED`` one is refused.
    """

    SUSPECTED = 'suspected'
    QUARANTINED = 'quarantined'


class Death(msgspec.Struct, frozen=True, array_like=True):
    """The death of a target, at a wall clock time in seconds."""

    target: str
    died_at: float

    def is_same(self, other: 'Death') -> bool:
        """Return whether two reports are about the same death.

        >>> Death('n:walks', 5.0).is_same(Death('n:walks', 5.5))
        True
        """
        interval = abs(self.died_at - other.died_at)
        return self.target == other.target and interval < SAME_DEATH_SECONDS


@dataclass(slots=True)
class Suspect:
    """A request with the deaths of targets during which it was running.

    ``expires_at`` and ``refused_until`` are on trio's clock.
    ``ran_exclusively`` is true if the request was the only suspect at one of
    the targets when that died.
    """

    expires_at: float
    deaths: list[Death] = field(default_factory=list)
    ran_exclusively: bool = False
    refused_until: float = 0
    quarantine_count: int = 0

    def has_counted(self, death: Death) -> bool:
        """Return whether this death is already counted."""
        return any(known.is_same(death) for known in self.deaths)

    def shares_deaths(self, other: 'Suspect') -> bool:
        """Return whether the other was running at each death of this one."""
        return all(other.has_counted(death) for death in self.deaths)
