"""The admission levels that a node knows."""

import math
from collections.abc import Iterable
from typing import NamedTuple

import trio

from boragetrestle_kernel.ids import ServiceName, TargetId
from boragetrestle_node.admission_level import FULL_LEVEL, median_level
from boragetrestle_node.directory import Directory
from boragetrestle_node.level_report import LevelReport

LEVEL_SECONDS = 4.0

_MAX_LEVELS = 4096


class KnownLevel(NamedTuple):
    """A level that holds until ``expires_at`` on the clock of trio."""

    level: float
    number: int
    expires_at: float


class LevelTable:
    """Keep the newest level of each target until it ages out.

    ``revision`` grows with each change. Targets without a level admit all.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.known: dict[TargetId, KnownLevel] = {}
        self.revision = 0
        self.expires_first = math.inf

    def take(self, reports: Iterable[LevelReport]) -> list[LevelReport]:
        """Take newer reports and return those that were news."""
        return [report for report in reports if self._take(report)]

    def reports(self, targets: Iterable[TargetId]) -> list[LevelReport]:
        """Return the reports of these targets that still hold."""
        now = trio.current_time()
        return [
            _report(target, self.known[target], now)
            for target in targets
            if target in self.known and self.known[target].expires_at > now
        ]

    def expire(self) -> None:
        """Drop levels that have aged out."""
        now = trio.current_time()
        if now < self.expires_first:
            return
        old = [
            target
            for target, known in self.known.items()
            if known.expires_at <= now
        ]
        for target in old:
            self.known.pop(target)
        self.revision += 1
        self.expires_first = min(
            (known.expires_at for known in self.known.values()),
            default=math.inf,
        )

    def of_service(self, service: ServiceName) -> float:
        """Return the level of a service: the median of its ready targets."""
        return median_level([
            self._of_target(record.target)
            for record in self.directory.ready(service)
        ])

    def is_limited(self, target: TargetId) -> bool:
        """Return whether a target admits less than all."""
        return self._of_target(target) < FULL_LEVEL

    def _of_target(self, target: TargetId) -> float:
        known = self.known.get(target)
        if known is None or known.expires_at <= trio.current_time():
            return FULL_LEVEL
        return known.level

    def _take(self, report: LevelReport) -> bool:
        target = TargetId(report.target)
        known = self.known.get(target)
        is_old = known is not None and known.number >= report.number
        lasts = LEVEL_SECONDS - max(0.0, report.age)
        is_full = known is None and len(self.known) >= _MAX_LEVELS
        if is_old or is_full or lasts <= 0:
            return False
        expires_at = trio.current_time() + lasts
        self.known[target] = KnownLevel(
            report.level,
            report.number,
            expires_at,
        )
        self.revision += 1
        self.expires_first = min(self.expires_first, expires_at)
        return True


def _report(target: TargetId, known: KnownLevel, now: float) -> LevelReport:
    age = LEVEL_SECONDS - (known.expires_at - now)
    return LevelReport(target, known.level, known.number, round(age, 3))
