"""Policies that choose a target for a call."""

import random
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.target_record import TargetRecord

LoadOf = Callable[[TargetId], float]


class TargetChoice(Protocol):
    """Choose one of the ready targets of a service."""

    def choose(
        self,
        targets: Sequence[TargetRecord],
        tried: Collection[TargetId],
    ) -> TargetRecord | None:
        """Return a target that was not tried, or ``None``."""


ChoiceBuilder = Callable[[LoadOf, random.Random], TargetChoice]
TARGET_CHOICES: dict[str, ChoiceBuilder] = {}


def target_choice(name: str) -> Callable[[ChoiceBuilder], ChoiceBuilder]:
    """Register a choice policy under a name."""

    def register(build: ChoiceBuilder) -> ChoiceBuilder:
        TARGET_CHOICES[name] = build
        return build

    return register


@target_choice('two-random')
class TwoRandom:
    """Take the less loaded of two random targets."""

    def __init__(self, load_of: LoadOf, rng: random.Random) -> None:
        self.load_of = load_of
        self.rng = rng

    def choose(
        self,
        targets: Sequence[TargetRecord],
        tried: Collection[TargetId],
    ) -> TargetRecord | None:
        """Return a target that was not tried, or ``None``."""
        left = [record for record in targets if record.target not in tried]
        if not left:
            return None
        pair = self.rng.sample(left, k=min(2, len(left)))
        return min(pair, key=lambda record: self.load_of(record.target))
