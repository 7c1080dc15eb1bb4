"""Know how many runs the target beside a guard handles at once, and how fast.

This combines the slots in heartbeats, the load that the target states in its
answers, and the limit learned from completed runs.
"""

from enum import Enum
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.learned_limit import LearnedLimit
from boragetrestle_sidecar.stated_load import TargetSlowdown, read_stated_load

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.target_answer import TargetAnswer
    from boragetrestle_sidecar.telemetry import Telemetry
    from boragetrestle_sidecar.wire_names import WireNames

# The guard uses this part of a target's slots, since targets slow down when
# nearly all of their slots are in use.
USABLE_SLOT_FRACTION = 0.95
NOT_LEARNED = -1.0


class LearnsLimits(Enum):
    """For which targets a guard learns a limit.

    ``STATED``: for those that state a slowdown in their answers.
    """

    ALWAYS = 'always'
    NEVER = 'never'
    STATED = 'stated'


class TargetCapacity:
    """The limit in force and the slowdown of one target.

    >>> from boragetrestle_sidecar.decision_log import DecisionLog
    >>> log = DecisionLog(lambda kind, fields: None)
    >>> capacity = TargetCapacity(LearnsLimits.STATED, log)
    >>> capacity.limit(slots=20), capacity.is_learning
    (19, False)
    """

    def __init__(self, mode: LearnsLimits, log: 'DecisionLog') -> None:
        self.mode = mode
        self.log = log
        self.slowdown = TargetSlowdown()
        self.learned: LearnedLimit | None = None

    @property
    def is_learning(self) -> bool:
        """Whether the limit of the current target is learned."""
        return {
            LearnsLimits.ALWAYS: True,
            LearnsLimits.NEVER: False,
            LearnsLimits.STATED: self.slowdown.is_stated,
        }[self.mode]

    @property
    def learned_metric(self) -> float:
        """The learned limit as a metric, -1 if none is learned."""
        return NOT_LEARNED if self.learned is None else self.learned.top

    def start(self) -> None:
        """Start anew with another incarnation of the target."""
        self.slowdown.start()
        self.learned = None

    def limit(self, slots: int) -> int:
        """Return how many runs the target may have at once."""
        full = self._full_limit(slots)
        return full if self.learned is None else min(full, self.learned.limit)

    def record_answer(
        self,
        answer: 'TargetAnswer',
        names: 'WireNames',
        telemetry: 'Telemetry',
        *,
        route: str,
        now: float,
    ) -> None:
        """Take over the load that an answer states."""
        try:
            load = read_stated_load(answer, names)
        except WireError as error:
            telemetry.count(route, 'stated_load_refused', 'malformed')
            self.log.write_limited('stated-load-refused', error=str(error))
            return
        if load is not None:
            self.slowdown.record(load, now)

    def record_run(
        self,
        route: str,
        seconds: float,
        in_flight: int,
        *,
        slots: int,
        now: float,
    ) -> None:
        """Learn from a completed run."""
        if not self.is_learning:
            return
        full = self._full_limit(slots)
        if self.learned is None:
            self.learned = LearnedLimit(full)
        self.learned.set_slots(full)
        self.learned.record(
            route, seconds, in_flight, now, slowdown=self.slowdown.factor(now)
        )
        change = self.learned.take_change()
        if change is not None:
            self.log.write_limited(
                'learned-limit',
                before=change.before,
                after=change.after,
                reason=change.reason.value,
                **change.evidence,
            )

    def _full_limit(self, slots: int) -> int:
        usable = self.slowdown.bound_slots(slots) * USABLE_SLOT_FRACTION
        return max(1, int(usable))
