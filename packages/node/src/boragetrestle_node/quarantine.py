"""Recognise and refuse requests that crash targets."""

import trio

from boragetrestle_kernel.clock import WallClock
from boragetrestle_kernel.errors import CallerError
from boragetrestle_kernel.http_server import HttpRequest
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.call import Call
from boragetrestle_node.exclusive_leases import ExclusiveLeases
from boragetrestle_node.exclusive_runs import ExclusiveRuns
from boragetrestle_node.fingerprint import (
    Fingerprint,
    RequestHead,
    fingerprint_of,
)
from boragetrestle_node.gossip import Gossip
from boragetrestle_node.reachability import accepts
from boragetrestle_node.replayable_body import ReplayableBody
from boragetrestle_node.suspect import Death, SuspectState
from boragetrestle_node.suspect_messages import (
    SuspectCleared,
    SuspectReport,
    SuspectReports,
)
from boragetrestle_node.suspect_table import SuspectTable

_REPORT_TIMEOUT_SECONDS = 2.0
_FLUSH_INTERVAL_SECONDS = 0.1
_MAX_REPORTS_PER_MESSAGE = 64


class Quarantine:
    """Track requests that ran while targets died; refuse them after two.

    A request that was running when a target died is a suspect; after two deaths
    it is quarantined, which means refused for a time. A broken connection
    counts as a death only if the target accepts no new one. Reports of deaths
    are flooded to every node, since deaths are rare.
    """

    def __init__(
        self,
        gossip: Gossip,
        timeline: Timeline,
        *,
        clock: WallClock,
        network: Network,
    ) -> None:
        self.gossip = gossip
        self.links = gossip.links
        self.timeline = timeline
        self.clock = clock
        self.network = network
        self.table = SuspectTable()
        self.leases = ExclusiveLeases(self.links)
        self.exclusive_runs = ExclusiveRuns(self.links)
        self.unsent_reports: list[SuspectReport] = []
        self.links.on(SuspectReports, self.receive)
        self.links.on(SuspectCleared, self.receive_cleared)

    async def run(self) -> None:
        """Flood unsent reports periodically until cancelled."""
        while True:
            await trio.sleep(_FLUSH_INTERVAL_SECONDS)
            if self.unsent_reports:
                reports = self.unsent_reports[:_MAX_REPORTS_PER_MESSAGE]
                self.unsent_reports = self.unsent_reports[
                    _MAX_REPORTS_PER_MESSAGE:
                ]
                self.gossip.flood(SuspectReports(reports))

    async def check_suspect(
        self,
        call: Call,
        request: HttpRequest,
        body: ReplayableBody,
    ) -> Fingerprint | None:
        """Return the fingerprint of a suspect; ``None`` for other requests.

        Raise ``RefusedError`` if the request is quarantined.
        """
        if not self.table.suspects:
            return None
        head = RequestHead.of(call, request).digest()
        if not self.table.knows_head(head):
            return None
        await body.read_digest_prefix()
        fingerprint = fingerprint_of(head, body)
        suspect = self.table.find(fingerprint)
        if suspect is None:
            return None
        if self.table.state(suspect) is SuspectState.QUARANTINED:
            wait = suspect.refused_until - trio.current_time()
            raise RefusedError(
                Refusal(RefusalCode.QUARANTINED, retry_after=wait),
            )
        return fingerprint

    async def report_broken_connection(
        self,
        call: Call,
        request: HttpRequest,
        body: ReplayableBody,
        *,
        target: TargetRecord,
    ) -> None:
        """Report a request whose connection broke, if the target is dead.

        Cancellation is held off until the report is made, since the caller may
        have disconnected meanwhile.
        """
        with trio.move_on_after(_REPORT_TIMEOUT_SECONDS, shield=True):
            await self._report_if_dead(call, request, body, target)

    async def _report_if_dead(
        self,
        call: Call,
        request: HttpRequest,
        body: ReplayableBody,
        target: TargetRecord,
    ) -> None:
        died_at = self.clock.wall()
        if await accepts(self.network, target.target_address):
            return
        try:
            await body.read_digest_prefix()
        except CallerError:
            return
        head = RequestHead.of(call, request).digest()
        fingerprint = fingerprint_of(head, body)
        self._apply_report(
            SuspectReport(
                fingerprint,
                Death(target.target, died_at),
                ran_exclusively=self._ran_exclusively(fingerprint, target),
            ),
        )

    def clear_completed(
        self,
        call: Call,
        request: HttpRequest,
        body: ReplayableBody,
    ) -> None:
        """Clear a suspect that has run to its end, here and at other nodes."""
        if not self.table.suspects:
            return
        head = RequestHead.of(call, request).digest()
        if not self.table.knows_head(head):
            return
        fingerprint = fingerprint_of(head, body)
        if self._clear(fingerprint):
            self.gossip.flood(SuspectCleared(fingerprint))

    async def receive(self, _sender: NodeId, message: SuspectReports) -> None:
        """Apply a message of reports from another node."""
        for report in message.reports:
            self._apply_report(report)
        await trio.lowlevel.checkpoint()

    async def receive_cleared(
        self,
        _sender: NodeId,
        message: SuspectCleared,
    ) -> None:
        """Clear a suspect that ran to its end at another node."""
        if self._clear(message.fingerprint):
            self.gossip.flood(message)
        await trio.lowlevel.checkpoint()

    def _ran_exclusively(
        self,
        fingerprint: Fingerprint,
        target: TargetRecord,
    ) -> bool:
        """Return whether a request was running as the only suspect there."""
        held = (fingerprint, target.target)
        is_leased = self.leases.holds(fingerprint, target.target)
        return is_leased or held in self.exclusive_runs.held

    def _apply_report(self, report: SuspectReport) -> None:
        is_new = self.table.add_death(
            report.fingerprint,
            report.death,
            ran_exclusively=report.ran_exclusively,
        )
        if not is_new:
            return
        self.unsent_reports.append(report)
        suspect = self.table.find(report.fingerprint)
        kinds = {
            SuspectState.SUSPECTED: EventKind.REQUEST_SUSPECTED,
            SuspectState.QUARANTINED: EventKind.REQUEST_QUARANTINED,
        }
        assert suspect is not None
        self.timeline.record(
            kinds[self.table.state(suspect)],
            reason=f'running when {report.death.target} died',
            subject=report.fingerprint,
        )

    def _clear(self, fingerprint: Fingerprint) -> bool:
        is_cleared = self.table.clear(fingerprint)
        if is_cleared:
            self.timeline.record(
                EventKind.REQUEST_CLEARED,
                reason='ran to its end',
                subject=fingerprint,
            )
        return is_cleared
