"""Compute admission levels of local targets and gossip them to nodes."""

import itertools
import random
from collections.abc import Callable, Iterable, Mapping

import trio

from boragetrestle_kernel.errors import WireError
from boragetrestle_kernel.http_fields import Fields, find_field
from boragetrestle_kernel.ids import NodeId, TargetId
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.admission_level import FULL_LEVEL
from boragetrestle_node.gossip import Gossip
from boragetrestle_node.guard_signal import GuardSignal
from boragetrestle_node.level_control import LevelControl
from boragetrestle_node.level_report import (
    LEVELS_FIELD,
    MAX_REPORTS,
    LevelReport,
    LevelReports,
    decode_reports,
    encode_reports,
)
from boragetrestle_node.level_table import LevelTable

Signals = Callable[[], Mapping[TargetId, GuardSignal]]

_INTERVAL_SECONDS = 0.25
_INTERVAL_JITTER = (0.9, 1.1)
_REFRESH_SECONDS = 1.0
_LEVEL_DIGITS = 2


class LevelSpread:
    """Compute levels from guard signals and exchange them with other nodes.

    Local targets are those whose guard (the component that enforces a target's
    limits) runs in this node. Levels expire soon after their target has
    recovered or died; one below full is published again once a second to stay
    valid. At each interval at most ``MAX_REPORTS`` reports go to a few nodes.
    """

    def __init__(
        self,
        table: LevelTable,
        gossip: Gossip,
        timeline: Timeline,
        *,
        signals: Signals,
        rng: random.Random,
        first_number: int,
    ) -> None:
        self.table = table
        self.gossip = gossip
        self.timeline = timeline
        self.signals = signals
        self.rng = rng
        self.report_numbers = itertools.count(first_number)
        self.controls: dict[TargetId, LevelControl] = {}
        self.published: dict[TargetId, tuple[float, float]] = {}
        self.unsent: dict[TargetId, None] = {}
        gossip.links.on(LevelReports, self.receive)

    async def run(self) -> None:
        """Update and send levels periodically until cancelled."""
        while True:
            jitter = self.rng.uniform(*_INTERVAL_JITTER)
            await trio.sleep(_INTERVAL_SECONDS * jitter)
            self.update()
            self.flush()

    def update(self) -> None:
        """Compute the levels of local targets; publish changed and due ones."""
        now = trio.current_time()
        for target, signal in self.signals().items():
            control = self.controls.setdefault(target, LevelControl())
            control.update(signal, now=now)
            level = round(control.level, _LEVEL_DIGITS)
            last, published_at = self.published.get(target, (FULL_LEVEL, 0))
            is_due = now >= published_at + _REFRESH_SECONDS
            if level != last or (level < FULL_LEVEL and is_due):
                self._publish(target, level, last)

    def flush(self) -> None:
        """Gossip unsent reports, at most ``MAX_REPORTS``, to a few nodes."""
        chosen = list(itertools.islice(self.unsent, MAX_REPORTS))
        for target in chosen:
            self.unsent.pop(target)
        reports = self.table.valid_reports(chosen)
        if reports:
            self.gossip.spread(LevelReports(reports))

    def answer_fields(self) -> Fields:
        """Return header fields with local levels, for answers to nodes."""
        reports = self.table.valid_reports(self.published)
        return [(LEVELS_FIELD, encode_reports(reports))] if reports else []

    def apply_answer_fields(self, fields: Fields) -> None:
        """Apply the levels in the header fields of another node's answer."""
        try:
            self.apply_reports(decode_reports(find_field(fields, LEVELS_FIELD)))
        except WireError as error:
            self.timeline.record(EventKind.FAULT, reason=str(error))

    async def receive(self, _sender: NodeId, message: LevelReports) -> None:
        """Apply a message of reports from another node."""
        self.apply_reports(message.reports)
        await trio.lowlevel.checkpoint()

    def apply_reports(self, reports: Iterable[LevelReport]) -> None:
        """Apply reports and queue the new ones for gossip."""
        for report in self.table.apply_reports(reports):
            self.unsent[TargetId(report.target)] = None

    def _publish(self, target: TargetId, level: float, last: float) -> None:
        now = trio.current_time()
        self.published[target] = (level, now)
        self.apply_reports([
            LevelReport(target, level, next(self.report_numbers), 0)
        ])
        if (last < FULL_LEVEL) != (level < FULL_LEVEL):
            self.timeline.record(
                EventKind.LEVEL_CHANGED,
                reason=f'admission level {level} after {last}',
                subject=target,
            )
