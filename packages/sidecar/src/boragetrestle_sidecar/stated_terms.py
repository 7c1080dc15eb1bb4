"""The terms that the target beside a guard has stated."""

import math
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.cold_phase import ColdPhase, ColdSource
from boragetrestle_sidecar.target_notice import TargetNotice
from boragetrestle_sidecar.target_pace import TargetPace
from boragetrestle_sidecar.target_terms import read_rate_limit

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.target_answer import TargetAnswer
    from boragetrestle_sidecar.target_report import TargetReport
    from boragetrestle_sidecar.wire_names import WireNames

NO_LIMIT = -1.0  # 0 is a limit


class StatedTerms:
    """Keep the newest terms of the current incarnation of a target.

    A rate limit holds for as long as the target's answers name it, and ``cold``
    while the target is cold; ``pace`` spaces the requests on the lower of both.
    ``remembered`` is what other nodes know from before this process started.
    """

    def __init__(self, names: 'WireNames', log: 'DecisionLog') -> None:
        self.names = names
        self.log = log
        self.rate_limit: float | None = None
        self.limited_at = -math.inf
        self.pace = TargetPace()
        self.pace_limit: float | None = None
        self.cold = ColdPhase()
        self.has_answered = False
        self.remembered: TargetNotice | None = None

    @property
    def rate_limit_metric(self) -> float:
        """The limit as a metric, -1 if there is none."""
        return NO_LIMIT if self.rate_limit is None else self.rate_limit

    @property
    def pace_metric(self) -> float:
        """The limit of the pace as a metric, -1 if there is none."""
        return NO_LIMIT if self.pace_limit is None else self.pace_limit

    def start(self, report: 'TargetReport', now: float) -> None:
        """Start anew with another incarnation."""
        self.rate_limit = None
        self.limited_at = -math.inf
        self.pace = TargetPace()
        self.pace_limit = None
        self.has_answered = False
        self._apply_remembered(report, now)

    def record_report(
        self,
        report: 'TargetReport',
        now: float,
        *,
        is_new: bool,
    ) -> None:
        """Take over from a report how long the target stays cold."""
        self.cold.record_report(report.cold_seconds, now=now, is_new=is_new)
        self.update_pace(now)

    def assume_cold(self, source: ColdSource, now: float) -> None:
        """Take the target for cold until its next report."""
        if self.cold.rate is not None:
            self.cold.assume(source, now=now)
            self.update_pace(now)

    def set_cold_rate(self, rate: float | None, now: float) -> None:
        """Change the requests a second that a cold target takes."""
        self.cold.rate = rate
        self.update_pace(now)

    def update_pace(self, now: float) -> None:
        """Space requests on the limits in force at this time."""
        cold_limit = self.cold.limit(now=now)
        limits = [
            limit
            for limit in (self.rate_limit, cold_limit)
            if limit is not None
        ]
        limit = min(limits, default=None)
        if limit == self.pace_limit:
            return
        self.log.write_limited(
            'target-pace',
            limit=limit,
            before=self.pace_limit,
            rate_limit=self.rate_limit,
            cold_limit=cold_limit,
            cold_source=self.cold.source.value,
            cold_seconds=max(0.0, self.cold.until - now),
        )
        self.pace_limit = limit
        self.pace.set_limit(limit, now=now)

    def wait_for(self, requests: int, *, now: float) -> float:
        """Return the seconds until that many more requests may be sent.

        A target that is only cold takes them all once it is warm.
        """
        paced = self.pace.wait_for(requests, now=now)
        cold_left = self.cold.seconds_left(now=now)
        if self.rate_limit is not None or cold_left is None:
            return paced
        return min(paced, cold_left)

    def remember(
        self,
        notice: TargetNotice,
        report: 'TargetReport | None',
        now: float,
    ) -> None:
        """Use a limit that another node knows until an answer has come."""
        known = self.remembered
        if known is not None and known.started_at > notice.started_at:
            return
        if notice.rate_limit is None:
            return
        self.remembered = notice
        if report is not None and not self.has_answered:
            self._apply_remembered(report, now)

    def record_answer(
        self,
        answer: 'TargetAnswer',
        report: 'TargetReport',
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Take over the limit that an answer names or no longer names.

        Answers may overtake each other, so only one to a request that was sent
        after the limit was last named can lift it.
        """
        try:
            rate_limit = read_rate_limit(answer, self.names)
        except WireError as error:
            self.log.write_limited(
                'target-limit-refused',
                target=report.target,
                error=str(error),
                in_force=self.rate_limit,
            )
            return
        self.has_answered = True
        if rate_limit is not None:
            self.limited_at = now
        if rate_limit is not None or sent_at > self.limited_at:
            self._set_rate_limit(rate_limit, report, now)

    def _apply_remembered(self, report: 'TargetReport', now: float) -> None:
        notice = self.remembered
        if notice is None or notice.rate_limit is None:
            return
        if (notice.target, notice.started_at) == report.incarnation:
            self.limited_at = now
            self._set_rate_limit(notice.rate_limit, report, now)

    def _set_rate_limit(
        self,
        rate_limit: float | None,
        report: 'TargetReport',
        now: float,
    ) -> None:
        if rate_limit == self.rate_limit:
            return
        self.log.write_limited(
            'target-limit',
            target=report.target,
            rate_limit=rate_limit,
            before=self.rate_limit,
        )
        self.rate_limit = rate_limit
        self.update_pace(now)
