"""Learn the admission levels of own targets and spread levels."""

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
    """Turn guard signals into levels and tell other nodes about changes.

    A level below full is repeated once a second, so that it ages out soon
    after its target has recovered or died. In an interval at most
    ``MAX_REPORTS`` reports go to a few neighbours.
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
        self.numbers = itertools.count(first_number)
        self.controls: dict[TargetId, LevelControl] = {}
        self.told: dict[TargetId, tuple[float, float]] = {}
        self.pending: dict[TargetId, None] = {}
        gossip.links.on(LevelReports, self.receive)

    async def run(self) -> None:
        """Follow the own targets until cancelled."""
        while True:
            jitter = self.rng.uniform(*_INTERVAL_JITTER)
            await trio.sleep(_INTERVAL_SECONDS * jitter)
            self.update()
            self.flush()

    def update(self) -> None:
        """Compute the levels of the own targets."""
        now = trio.current_time()
        for target, signal in self.signals().items():
            control = self.controls.setdefault(target, LevelControl())
            control.update(signal, now=now)
            level = round(control.level, _LEVEL_DIGITS)
            last, told_at = self.told.get(target, (FULL_LEVEL, 0))
            is_due = now >= told_at + _REFRESH_SECONDS
            if level != last or (level < FULL_LEVEL and is_due):
                self._tell(target, level, last)

    def flush(self) -> None:
        """Send what is pending to some neighbours."""
        chosen = list(itertools.islice(self.pending, MAX_REPORTS))
        for target in chosen:
            self.pending.pop(target)
        reports = self.table.reports(chosen)
        if reports:
            self.gossip.spread(LevelReports(reports))

    def fields(self) -> Fields:
        """Return the header fields that answers to other nodes carry."""
        reports = self.table.reports(self.told)
        return [(LEVELS_FIELD, encode_reports(reports))] if reports else []

    def learn(self, fields: Fields) -> None:
        """Take the levels of an answer that came from a node."""
        try:
            self.take(decode_reports(find_field(fields, LEVELS_FIELD)))
        except WireError as error:
            self.timeline.record(EventKind.FAULT, reason=str(error))

    async def receive(self, _sender: NodeId, message: LevelReports) -> None:
        """Take reports of another node."""
        self.take(message.reports)
        await trio.lowlevel.checkpoint()

    def take(self, reports: Iterable[LevelReport]) -> None:
        """Take reports and send on those that are news."""
        for report in self.table.take(reports):
            self.pending[TargetId(report.target)] = None

    def _tell(self, target: TargetId, level: float, last: float) -> None:
        now = trio.current_time()
        self.told[target] = (level, now)
        self.take([LevelReport(target, level, next(self.numbers), 0)])
        if (last < FULL_LEVEL) != (level < FULL_LEVEL):
            self.timeline.record(
                EventKind.LEVEL_CHANGED,
                reason=f'admission level {level} after {last}',
                subject=target,
            )
