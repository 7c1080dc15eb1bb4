"""Faults that tests and the trial inject into stand-ins."""

from dataclasses import dataclass, fields
from typing import Any

import msgspec


@dataclass(slots=True)
class StoreFaults:
    """Faults to inject into the platform; ``delay`` is in seconds.

    ``lost_answers`` and ``lost_puts`` count the next commits and the next
    writes of objects that are applied without an answer, ``lost_reads`` the
    next reads without one.
    """

    delay: float = 0.0
    is_down: bool = False
    lost_answers: int = 0
    lost_puts: int = 0
    lost_reads: int = 0


@dataclass(slots=True)
class TargetFaults:
    """Target faults; ``delay`` and ``cold_start`` are in seconds.

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


def replace_faults(faults: Any, raw: bytes) -> None:
    """Set all faults from JSON; fields that it leaves out are cleared.

    Raises ``msgspec.DecodeError`` for a wrong field.

    >>> faults = StoreFaults(is_down=True)
    >>> replace_faults(faults, b'{"delay": 2}')
    >>> faults.delay, faults.is_down
    (2.0, False)
    """
    fresh = msgspec.json.decode(raw, type=type(faults))
    for field in fields(fresh):
        setattr(faults, field.name, getattr(fresh, field.name))
