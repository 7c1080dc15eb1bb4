"""A modelled target that may hold less than it declares."""

import random
from typing import NamedTuple

import trio

from boragetrestle_node.attempt import Attempt, Forwarded

_OK = 200
_SHED = 503
_SHED_SECONDS = 0.002


class TargetModel(NamedTuple):
    """How a target behaves; times are in seconds.

    Beyond ``true_slots`` all calls slow down by the power ``thrash`` of the
    excess; beyond ``shed_above`` calls are shed. From ``slow_from`` until
    ``slow_until`` calls take ``slowdown`` times as long.
    """

    declared: int = 40
    true_slots: int = 40
    shed_above: int = 1_000_000
    work: float = 0.05
    thrash: float = 2.0
    slow_from: float = 0
    slow_until: float = 0
    slowdown: float = 1

    @property
    def capacity(self) -> float:
        """The calls a second that the target can serve."""
        return self.true_slots / self.work


class ModelTarget:
    """Run calls as a model tells; times vary exponentially."""

    def __init__(self, model: TargetModel, rng: random.Random) -> None:
        self.model = model
        self.rng = rng
        self.running = 0

    async def run(self) -> Forwarded:
        """Run one call."""
        if self.running >= self.model.shed_above:
            await trio.sleep(_SHED_SECONDS)
            return Forwarded(Attempt.ANSWERED, status=_SHED)
        self.running += 1
        try:
            await trio.sleep(self._seconds())
        finally:
            self.running -= 1
        return Forwarded(Attempt.ANSWERED, status=_OK)

    def _seconds(self) -> float:
        model = self.model
        excess: float = max(1, self.running / model.true_slots)
        seconds: float = model.work * excess**model.thrash
        if model.slow_from <= trio.current_time() < model.slow_until:
            seconds *= model.slowdown
        return seconds * self.rng.expovariate(1)
