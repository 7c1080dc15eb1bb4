"""Bounds on what a caller may send."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds in bytes and seconds; the defaults hold until operators set some."""

    header_bytes: int = 16384  # the operators' customary value
    body_bytes: int = 67_108_864  # the operators' customary value
    header_seconds: float = 3.0  # the operators' customary value
    idle_seconds: float = 15.0  # the operators' customary value
