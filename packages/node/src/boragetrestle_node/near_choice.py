"""Choose a target near the node, by load and latency."""

from collections.abc import Collection, Sequence

import trio

from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.call import Call
from boragetrestle_node.target_choice import (
    ChoiceInputs,
    target_choice,
    untried,
)

SPILL_RATIO = 2.0

_LEAST_LATENCY_SECONDS = 0.001
_IDLE_SHARE = 0.5


@target_choice('near-two-random')
class NearTwoRandom:
    """Take the cheaper of two random targets, in the own domain if it can.

    The cost of a target is its recent latency times the share of its slots
    that this node uses. A call spills to another failure domain if the cost
    there is less than half. A cold target is drawn more and more often over
    its first seconds. Ejected targets get trial calls only; if nothing
    else is left, any target that was not tried is taken.
    """

    def __init__(self, inputs: ChoiceInputs) -> None:
        self.book = inputs.book
        self.ejector = inputs.ejector
        self.subsets = inputs.subsets
        self.rng = inputs.rng

    def choose(
        self,
        call: Call,
        targets: Sequence[TargetRecord],
        tried: Collection[TargetId],
    ) -> TargetRecord | None:
        """Return a target that was not tried, or ``None``."""
        subset = self.subsets.of(call.service, targets)
        near = untried(subset.near, tried)
        far = untried(subset.far, tried)
        trial = self._trial(call, near) or self._trial(call, far)
        if trial is not None:
            return trial
        chosen = self._spill(self._cheaper(near), self._cheaper(far))
        return chosen or self._any(untried(targets, tried))

    def _trial(
        self,
        call: Call,
        targets: Sequence[TargetRecord],
    ) -> TargetRecord | None:
        is_safe = call.route.idempotent and call.attempts_left > 1
        for record in targets:
            if self.ejector.is_trial_due(record, is_safe=is_safe):
                self.book.view(record.target).is_on_trial = True
                return record
        return None

    def _cheaper(self, targets: Sequence[TargetRecord]) -> TargetRecord | None:
        usable = [rec for rec in targets if self.ejector.is_usable(rec)]
        if not usable:
            return None
        ramped = [rec for rec in usable if self._takes_part(rec)] or usable
        pair = self.rng.sample(ramped, k=min(2, len(ramped)))
        return min(pair, key=lambda record: self._cost(record, idle=0))

    def _takes_part(self, record: TargetRecord) -> bool:
        """Draw a cold target only as often as its ramp allows."""
        ramp = self.book.view(record.target).ramp(trio.current_time())
        return ramp >= 1 or self.rng.random() < ramp

    def _spill(
        self,
        near: TargetRecord | None,
        far: TargetRecord | None,
    ) -> TargetRecord | None:
        if near is None or far is None:
            return near or far
        near_cost = self._cost(near, idle=_IDLE_SHARE)
        far_cost = self._cost(far, idle=_IDLE_SHARE)
        return far if near_cost > SPILL_RATIO * far_cost else near

    def _cost(self, record: TargetRecord, *, idle: float) -> float:
        view = self.book.view(record.target)
        used = (view.in_flight + 1) / record.slots
        now = trio.current_time()
        latency = max(view.latency_at(now), _LEAST_LATENCY_SECONDS)
        return latency * (used + idle)

    def _any(self, targets: Sequence[TargetRecord]) -> TargetRecord | None:
        return self.rng.choice(targets) if targets else None
