"""Policies that limit the calls running at a target."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol


class CallEnd(Enum):
    """How a call at a target ended, as far as limits care."""

    ANSWERED = 'answered'
    SHED = 'shed'
    TIMED_OUT = 'timed-out'
    FAILED = 'failed'
    ABANDONED = 'abandoned'


class LimitSample(NamedTuple):
    """Calls that ended alike: their mean seconds and the slots in use."""

    end: CallEnd
    seconds: float
    in_use: int
    calls: int = 1


class LimitPolicy(Protocol):
    """Learn from ended calls how many may run at once.

    ``ceiling`` is what the target declared.
    """

    ceiling: int

    @property
    def limit(self) -> float:
        """The calls that may run at once, from 1 to the ceiling."""

    def learn(self, sample: LimitSample) -> None:
        """Take an ended call into account."""


LimitBuilder = Callable[[int], LimitPolicy]
LIMIT_POLICIES: dict[str, LimitBuilder] = {}


def limit_policy(name: str) -> Callable[[LimitBuilder], LimitBuilder]:
    """Register a limit policy under a name."""

    def register(build: LimitBuilder) -> LimitBuilder:
        LIMIT_POLICIES[name] = build
        return build

    return register
