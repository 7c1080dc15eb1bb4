"""Faults that tests and the trial set on stand-ins."""

from dataclasses import dataclass


@dataclass(slots=True)
class StoreFaults:
    """Faults of the platform; ``delay`` is in seconds.

    ``lost_answers`` counts the next commits that are applied without an answer.
    """

    delay: float = 0.0
    is_down: bool = False
    lost_answers: int = 0


@dataclass(slots=True)
class TargetFaults:
    """Faults of a target; ``delay`` and ``cold_start`` are in seconds.

    A target that is ``shedding`` refuses each call. ``crash_path`` is a path
    that ends the target when it is called. ``cut_after`` is the number of body
    bytes after which answers are cut. ``slowdown`` multiplies the time of a
    call. A target that is ``failing`` works on each call and then answers 500.
    """

    delay: float = 0.0
    cold_start: float = 0.0
    slowdown: float = 1
    is_shedding: bool = False
    is_failing: bool = False
    crash_path: str = ''
    cut_after: int | None = None
    reported_load: float | None = None
    reported_health: bool | None = None
