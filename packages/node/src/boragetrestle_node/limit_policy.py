"""Policies that limit the calls running at once at a target."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol


class CallEnd(Enum):
    """How a call at a target ended, as limit policies tell calls apart."""

    ANSWERED = 'answered'
    SHED = 'shed'
    TIMED_OUT = 'timed-out'
    FAILED = 'failed'
    ABANDONED = 'abandoned'


class LimitSample(NamedTuple):
    """Calls with the same end, as one sample.

    ``seconds`` is their mean service time, ``in_use`` the slots in use.
    """

    end: CallEnd
    seconds: float
    in_use: int
    calls: int = 1


class LimitPolicy(Protocol):
    """Adapt the number of calls that may run at once to ended calls.

    ``ceiling`` is the limit that the target declared.
    """

    ceiling: int

    @property
    def limit(self) -> float:
        """The calls that may run at once, from 1 to the ceiling."""

    def update(self, sample: LimitSample) -> None:
        """Update the limit from a sample of ended calls."""


LimitBuilder = Callable[[int], LimitPolicy]
LIMIT_POLICIES: dict[str, LimitBuilder] = {}


def limit_policy(name: str) -> Callable[[LimitBuilder], LimitBuilder]:
    """Register a limit policy under a name."""

    def register(builder: LimitBuilder) -> LimitBuilder:
        LIMIT_POLICIES[name] = builder
        return builder

    return register
