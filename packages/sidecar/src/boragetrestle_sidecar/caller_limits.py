"""Bounds on what a caller may send."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds in bytes and seconds.

    The defaults are the values that operators usually set; they apply until a
    configuration sets others.
    """

    header_bytes: int = 16384
    body_bytes: int = 67_108_864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
