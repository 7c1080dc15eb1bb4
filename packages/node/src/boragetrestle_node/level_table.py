"""The admission levels of all targets, as this node knows them."""

import math
from collections.abc import Iterable
from typing import NamedTuple

import trio

from boragetrestle_kernel.ids import ServiceName, TargetId
from boragetrestle_node.admission_level import FULL_LEVEL, median_level
from boragetrestle_node.directory import Directory
from boragetrestle_node.level_report import LevelReport

LEVEL_VALID_SECONDS = 4.0

_MAX_LEVELS = 4096


class KnownLevel(NamedTuple):
    """A level that is valid until ``expires_at`` on trio's clock."""

    level: float
    number: int
    expires_at: float


class LevelTable:
    """Keep the newest level of each target until it expires.

    ``revision`` increases with each change. A target without a level admits
    all calls.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.known: dict[TargetId, KnownLevel] = {}
        self.revision = 0
        self.next_expiry_at = math.inf

    def apply_reports(
        self, reports: Iterable[LevelReport]
    ) -> list[LevelReport]:
        """Store reports newer than the known ones and return those."""
        return [report for report in reports if self._apply_report(report)]

    def valid_reports(self, targets: Iterable[TargetId]) -> list[LevelReport]:
        """Return a report for each of these targets with a valid level."""
        now = trio.current_time()
        return [
            _report(target, self.known[target], now)
            for target in targets
            if target in self.known and self.known[target].expires_at > now
        ]

    def expire(self) -> None:
        """Drop expired levels."""
        now = trio.current_time()
        if now < self.next_expiry_at:
            return
        expired = [
            target
            for target, known in self.known.items()
            if known.expires_at <= now
        ]
        for target in expired:
            self.known.pop(target)
        self.revision += 1
        self.next_expiry_at = min(
            (known.expires_at for known in self.known.values()),
            default=math.inf,
        )

    def service_level(self, service: ServiceName) -> float:
        """Return the level of a service: the median of its ready targets."""
        return median_level([
            self._target_level(record.target)
            for record in self.directory.ready(service)
        ])

    def is_limited(self, target: TargetId) -> bool:
        """Return whether a target admits less than all calls."""
        return self._target_level(target) < FULL_LEVEL

    def _target_level(self, target: TargetId) -> float:
        known = self.known.get(target)
        if known is None or known.expires_at <= trio.current_time():
            return FULL_LEVEL
        return known.level

    def _apply_report(self, report: LevelReport) -> bool:
        target = TargetId(report.target)
        known = self.known.get(target)
        is_old = known is not None and known.number >= report.number
        valid_seconds = LEVEL_VALID_SECONDS - max(0.0, report.age)
        is_table_full = known is None and len(self.known) >= _MAX_LEVELS
        if is_old or is_table_full or valid_seconds <= 0:
            return False
        expires_at = trio.current_time() + valid_seconds
        self.known[target] = KnownLevel(
            report.level,
            report.number,
            expires_at,
        )
        self.revision += 1
        self.next_expiry_at = min(self.next_expiry_at, expires_at)
        return True


def _report(target: TargetId, known: KnownLevel, now: float) -> LevelReport:
    age = LEVEL_VALID_SECONDS - (known.expires_at - now)
    return LevelReport(target, known.level, known.number, round(age, 3))
