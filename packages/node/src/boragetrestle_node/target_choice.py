"""Policies that choose a target for a call."""

import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple, Protocol

from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.call import Call
from boragetrestle_node.ejector import Ejector
from boragetrestle_node.target_book import TargetBook
from boragetrestle_node.target_subset import TargetSubsets


class ChoiceInputs(NamedTuple):
    """What a choice may go by."""

    book: TargetBook
    ejector: Ejector
    subsets: TargetSubsets
    rng: random.Random


class TargetChoice(Protocol):
    """Choose one of the ready targets of a service."""

    def choose(
        self,
        call: Call,
        targets: Sequence[TargetRecord],
        tried: Collection[TargetId],
    ) -> TargetRecord | None:
        """Return a target that was not tried, or ``None``."""


ChoiceBuilder = Callable[[ChoiceInputs], TargetChoice]
TARGET_CHOICES: dict[str, ChoiceBuilder] = {}


def target_choice(name: str) -> Callable[[ChoiceBuilder], ChoiceBuilder]:
    """Register a choice policy under a name."""

    def register(build: ChoiceBuilder) -> ChoiceBuilder:
        TARGET_CHOICES[name] = build
        return build

    return register


def untried(
    targets: Sequence[TargetRecord],
    tried: Collection[TargetId],
) -> list[TargetRecord]:
    """Return the targets that were not tried."""
    return [record for record in targets if record.target not in tried]


@target_choice('random')
class RandomTarget:
    """Take any target."""

    def __init__(self, inputs: ChoiceInputs) -> None:
        self.rng = inputs.rng

    def choose(
        self,
        _call: Call,
        targets: Sequence[TargetRecord],
        tried: Collection[TargetId],
    ) -> TargetRecord | None:
        """Return a target that was not tried, or ``None``."""
        left = untried(targets, tried)
        return self.rng.choice(left) if left else None


@target_choice('two-random')
class TwoRandom:
    """Take the less loaded of two random targets."""

    def __init__(self, inputs: ChoiceInputs) -> None:
        self.load_of = inputs.book.load_of
        self.rng = inputs.rng

    def choose(
        self,
        _call: Call,
        targets: Sequence[TargetRecord],
        tried: Collection[TargetId],
    ) -> TargetRecord | None:
        """Return a target that was not tried, or ``None``."""
        left = untried(targets, tried)
        if not left:
            return None
        pair = self.rng.sample(left, k=min(2, len(left)))
        return min(pair, key=lambda record: self.load_of(record.target))
