"""Enforce the limits of the target beside this node."""

import asyncio
import math
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import WireError
from boragetrestle_kernel.ids import TargetId
from boragetrestle_sidecar.answer_buffers import (
    ANSWER_MEMORY_SHARE,
    AnswerBuffers,
)
from boragetrestle_sidecar.answer_head import answer_head
from boragetrestle_sidecar.body_budget import LARGE_BODY_BYTES
from boragetrestle_sidecar.call_attribution import CallAttribution
from boragetrestle_sidecar.cold_phase import UNKNOWN_RATE, ColdSource
from boragetrestle_sidecar.configured_services import ConfiguredServices
from boragetrestle_sidecar.crash_watch import CrashWatch
from boragetrestle_sidecar.evacuations import Evacuations
from boragetrestle_sidecar.failure_trace import failure_trace
from boragetrestle_sidecar.guard_job import GuardJob, JobState
from boragetrestle_sidecar.guard_queue import GuardQueue
from boragetrestle_sidecar.leave_source import LeaveSource
from boragetrestle_sidecar.outcome import (
    GuardLoad,
    Outcome,
    OutcomeKind,
    Reason,
)
from boragetrestle_sidecar.reported_target import ReportedTarget
from boragetrestle_sidecar.returning_slots import ReturningSlots
from boragetrestle_sidecar.run_meter import RunMeter
from boragetrestle_sidecar.server_connection import Loss, ServerConnection
from boragetrestle_sidecar.stated_terms import StatedTerms
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.target_capacity import TargetCapacity
from boragetrestle_sidecar.target_leaves import UnreportedLeave
from boragetrestle_sidecar.target_notice import TargetNotice
from boragetrestle_sidecar.target_pool import TargetPool
from boragetrestle_sidecar.target_silence import TargetSilence
from boragetrestle_sidecar.target_terms import says_it_leaves
from boragetrestle_sidecar.telemetry import Telemetry

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.path_settings import PathSettings
    from boragetrestle_sidecar.run_order import RunOrder
    from boragetrestle_sidecar.target_answer import TargetAnswer
    from boragetrestle_sidecar.target_pace import TargetPace
    from boragetrestle_sidecar.target_record import TargetRecord
    from boragetrestle_sidecar.target_report import TargetReport
    from boragetrestle_sidecar.wire_names import WireNames

UNREACHABLE_BACKOFF_SECONDS = 0.3  # a restart takes some seconds
# A run waits for a slot at most for this part of the time until its
# response-time goal, or until its deadline if it is an onward call.
MAX_WAIT_FRACTION = 0.8
# The target's own answer is still awaited this long after the deadline.
EXPIRY_GRACE_SECONDS = 0.015
MIN_REMAINING_SECONDS = 0.01  # even the shortest run takes longer
MISDIRECTED_STATUS = 421
# Failures that a target causes; 504 only says that the deadline passed.
FAILURE_STATUSES = frozenset((500, 502, 503))
_LOSS_REASON = {
    Loss.CLOSED: Reason.CONNECTION_LOST,
    Loss.SILENT: Reason.CONNECTION_LOST,
    Loss.GARBLED: Reason.ANSWER_GARBLED,
}


class Guard:
    """Send runs to one target, never more at once than its slots.

    A run is one request to the target, which waits here for a free slot if
    need be. All requests for the target go through its guard. So there is a
    single queue, and a drain is acknowledged without asking other nodes.
    """

    def __init__(
        self,
        settings: 'PathSettings',
        names: 'WireNames',
        log: 'DecisionLog',
        *,
        telemetry: Telemetry | None = None,
        evacuations: Evacuations | None = None,
        clock: Callable[[], float] = steady_now,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.names = names
        self.log = log
        self.telemetry = telemetry or Telemetry()
        self.clock = clock
        self.wall_clock = wall_clock
        self.services = ConfiguredServices(settings.service)
        self.reported_target = ReportedTarget(
            settings.target,
            heartbeat=settings.heartbeat_seconds,
            confirms=self.services.confirms,
        )
        self.pool = TargetPool(
            settings.target,
            id_header=names.request_id,
            buffers=AnswerBuffers(
                int(settings.memory_bytes * ANSWER_MEMORY_SHARE)
            ),
            clock=clock,
        )
        self.pool.on_emptied = self._note_ended_connections
        self.queue = GuardQueue()
        self.meter = RunMeter()
        self.terms = StatedTerms(names, log)
        self.capacity = TargetCapacity(settings.learns_limits, log)
        if settings.limits_cold_targets:
            self.terms.cold.rate = UNKNOWN_RATE
        self.evacuations = evacuations or Evacuations(log)
        self.was_evacuated = False
        self.attribution = CallAttribution()
        self.jobs: set[GuardJob] = set()
        self.running = 0
        self.unreachable_until = 0.0
        self.found_at = 0.0
        self.silence_detector = TargetSilence()
        self.crash_watch = CrashWatch()
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_stopping = False

    @property
    def limit(self) -> int:
        """How many runs the target may have at once."""
        report = self.reported_target.report
        if report is None:
            return 0
        return self.capacity.limit(report.slots)

    @property
    def run_seconds(self) -> float:
        """The time that a run is expected to take if it starts now."""
        factor = self.capacity.slowdown.factor(self.clock())
        return self.meter.run_seconds * factor

    @property
    def effective_slots(self) -> float:
        """How many runs can be at the target at once, on average.

        A target that names a rate limit, or is cold, gets fewer than it has
        slots.
        """
        pace = self.terms.pace
        if not pace.is_limited:
            return self.limit
        return min(self.limit, pace.rate * self.run_seconds)

    @property
    def returning_slots(self) -> ReturningSlots:
        """The slots that a cold target has again when it is warm."""
        seconds = self.terms.cold.seconds_left(now=self.clock())
        if not seconds or self.terms.rate_limit is not None:
            return ReturningSlots()
        return ReturningSlots(self.limit - self.effective_slots, seconds)

    @property
    def is_open(self) -> bool:
        """Whether the guard accepts runs for the target."""
        return self._is_open_at(self.clock())

    @property
    def is_evacuated(self) -> bool:
        """Whether the operators have asked to send nothing to this domain."""
        return self.settings.domain in self.evacuations.domains

    @property
    def _closed_reason(self) -> Reason:
        return Reason.EVACUATED if self.is_evacuated else Reason.NO_TARGET

    @property
    def load(self) -> GuardLoad:
        """The load that is reported with each outcome."""
        now = self.clock()
        return GuardLoad(
            self.running,
            len(self.queue.queued_runs),
            self.effective_slots,
            self.run_seconds if self.meter.has_ended else 0.0,
            round(self.meter.failing_share(now), 3),
            self._is_open_at(now),
            self.notice,
            round(self.terms.cold.seconds_left(now=now) or 0.0, 3),
        )

    @property
    def notice(self) -> TargetNotice | None:
        """What entries remember of the target, so that a restart keeps it."""
        target = self.reported_target
        rate_limit = self.terms.rate_limit
        has_terms = rate_limit is not None or target.has_announced_end
        if target.report is None or not has_terms:
            leave = target.unreported_leave
            return leave and TargetNotice.of_unreported(leave)
        return TargetNotice(
            *target.report.incarnation,
            rate_limit=rate_limit,
            is_leaving=target.is_leaving,
            drain_sequence=target.drain_sequence,
        )

    def handle_heartbeat(self, report: 'TargetReport') -> None:
        """Process a heartbeat of the target.

        Raises ``WireError`` for one that the host's target cannot have sent.
        """
        self.services.check(report, self.reported_target.report)
        if self.reported_target.hold_back(report, self.clock()):
            self.log.write_limited(
                'report-held',
                target=report.target,
                started_at=report.started_at,
                sequence=report.sequence,
            )
            return
        self._use_report(report)

    def apply_record(self, record: 'TargetRecord') -> None:
        """Use what an earlier process on this host saved about the target."""
        held = self.reported_target.apply_record(record)
        if held is not None and self.reported_target.report is None:
            self._use_report(held)
        if not self.is_open:
            self._refuse_waiting(Reason.DRAINING)

    def _use_report(self, report: 'TargetReport') -> None:
        had_left = self.reported_target.has_announced_end
        is_new = self.reported_target.update(report, self.clock())
        self.silence_detector.is_suspected = False
        if is_new:
            self.found_at = self.clock()
            if had_left or not self.services.confirms(report.service):
                self.crash_watch.forget_losses()
            self.crash_watch.report_crash(self.found_at)
            self.pool.close()
            self.terms.start(report, self.found_at)
            self._apply_cold_rate()
            self.capacity.start()
            self.unreachable_until = 0.0
            self.log.write_unlimited(
                'target-found',
                target=report.target,
                service=report.service,
                started_at=report.started_at,
                slots=report.slots,
                cold_seconds=report.cold_seconds,
                waiting=len(self.queue),
            )
            self._refuse_other_services()
        if self.reported_target.report is report:
            self.terms.record_report(report, self.clock(), is_new=is_new)
        if not self.is_open:
            self._refuse_waiting(Reason.DRAINING)

    def configure(self, configuration: 'Configuration') -> None:
        """Use the services and limits of a new configuration."""
        self.services.add(configuration)
        self._judge_target()
        self._apply_cold_rate()

    def _judge_target(self) -> None:
        """Drop a target from before the first configuration if need be."""
        report = self.reported_target.report
        self.reported_target.judge(self.services.knows)
        if report is None or report is self.reported_target.report:
            return
        self.log.write_unlimited(
            'target-dropped',
            target=report.target,
            service=report.service,
            known=sorted(self.services.known),
        )
        self._refuse_waiting(Reason.NO_TARGET)

    def _apply_cold_rate(self) -> None:
        cold_rates = self.services.cold_rates
        if cold_rates is None:
            return
        report = self.reported_target.report
        service = report.service if report else self.settings.service
        self.terms.set_cold_rate(cold_rates.get(service), self.clock())

    def apply_evacuations(self) -> None:
        """Stop or begin to send to the target as the operators ask."""
        if self.is_evacuated == self.was_evacuated:
            return
        self.was_evacuated = self.is_evacuated
        self.log.write_unlimited(
            'guard-evacuated' if self.is_evacuated else 'guard-taken-back',
            domain=self.settings.domain,
            running=self.running,
            waiting=len(self.queue),
        )
        if self.is_evacuated:
            self._refuse_waiting(Reason.EVACUATED)
        else:
            self.terms.assume_cold(ColdSource.TAKEN_BACK, self.clock())

    def handle_leaving(self, target: TargetId) -> None:
        """Process the message of a target that it is leaving.

        A node that has just started may get it before a report of the target.
        """
        if not self.reported_target.knows(target):
            leave = UnreportedLeave(target, int(self.wall_clock() * 1000))
            self.reported_target.note_unreported_leave(leave)
            self.log.write_limited(
                'target-left-unreported',
                target=target,
                left_by=leave.left_by,
            )
        elif self.reported_target.mark_leaving(target):
            self._stop_sending(target, LeaveSource.CALL)

    def handle_notice(self, notice: TargetNotice) -> None:
        """Process what an entry remembers of the target.

        Raises ``WireError`` for a rate limit that no target can name.
        """
        rate_limit = notice.rate_limit
        if rate_limit is not None and not 0 <= rate_limit < math.inf:
            raise WireError(
                f'a peer remembers the rate limit {rate_limit!r}',
                remedy='run the same version on all nodes',
            )
        report = self.reported_target.report
        self.terms.remember(notice, report, self.clock())
        target = TargetId(notice.target)
        leave = notice.unreported_leave
        if leave is not None:
            if self.reported_target.note_unreported_leave(leave):
                self._stop_sending(target, LeaveSource.PEER)
            return
        if notice.drain_sequence is not None:
            self.reported_target.drains.add(
                target, notice.started_at, notice.drain_sequence
            )
        if notice.is_leaving and self.reported_target.note_leaving(
            target, notice.started_at
        ):
            self._stop_sending(target, LeaveSource.PEER)

    def stop(self) -> None:
        """Accept no more runs; those at the target continue."""
        self.is_stopping = True
        self._refuse_waiting(Reason.STOPPING)

    def submit(
        self,
        order: 'RunOrder',
        reply: Callable[[Outcome], None],
        *,
        transit_delay: float = 0.0,
    ) -> GuardJob:
        """Start a run, queue it, or refuse it at once.

        ``transit_delay`` is how many seconds the order was delayed between the
        entry and this guard; they count against its deadline.
        """
        now = self.clock()
        job = GuardJob(
            order,
            reply,
            arrived_at=now,
            expires_at=now + order.time_left - transit_delay,
            goal_at=now + order.goal_left - transit_delay,
        )
        try:
            self._accept(job, now)
        except Exception as error:
            self.fail_run(job, error)
        return job

    def cancel(self, job: GuardJob) -> None:
        """Cancel a run whose caller has disconnected.

        A run that may not be repeated goes on to its end, so that the changes
        that it makes are not interrupted.
        """
        try:
            self._cancel(job)
        except Exception as error:
            self.fail_run(job, error)

    def _cancel(self, job: GuardJob) -> None:
        if job.state is JobState.WAITING:
            self.queue.remove(job)
            self._finish(job, _not_sent(Reason.CALLER_GONE))
        elif job.state is JobState.CONNECTING:
            self._finish(job, _not_sent(Reason.CALLER_GONE))
        elif job.state is JobState.RUNNING and job.order.may_repeat:
            self._abort_run(job, Reason.CALLER_GONE)

    @property
    def next_deadline(self) -> float:
        """When a run expires next, or now while runs wait for a slot."""
        if self.queue:
            return self.clock()
        return min((job.expires_at for job in self.jobs), default=math.inf)

    def sweep(self) -> None:
        """End runs past their deadline; called every few milliseconds."""
        now = self.clock()
        for job in self.queue.pop_expired(now + MIN_REMAINING_SECONDS):
            self._finish(job, _not_sent(Reason.EXPIRED))
        for job in list(self.jobs):
            is_overdue = now > job.expires_at + EXPIRY_GRACE_SECONDS
            if is_overdue and job.state is JobState.RUNNING:
                self._expire(job, now)
        self.terms.update_pace(now)
        self._dispatch()

    def fail_run(self, job: GuardJob, error: Exception) -> None:
        """End a run that this node failed to handle; others go on.

        The reasons are those that nodes of earlier builds know.
        """
        self._log_failure(job, error)
        was_sent = job.state is JobState.RUNNING
        if job.holds_slot and job.connection is not None:
            job.connection.close()
        self._release_slot(job)
        if job.state is JobState.ENDED:
            return
        self._finish(
            job,
            Outcome(OutcomeKind.UNKNOWN, Reason.ANSWER_GARBLED)
            if was_sent
            else _not_sent(Reason.UNREACHABLE),
        )

    def _log_failure(self, job: GuardJob, error: Exception) -> None:
        self.log.write_limited(
            'run-failed',
            request=job.order.request_id.decode('latin-1'),
            route=job.order.route,
            state=job.state.value,
            error=repr(error),
            trace=failure_trace(error),
        )

    def _accept(self, job: GuardJob, now: float) -> None:
        """Start a run, queue it, or refuse it."""
        is_timed = math.isfinite(job.expires_at) and math.isfinite(job.goal_at)
        if not is_timed or job.expires_at - now < MIN_REMAINING_SECONDS:
            self._finish(job, _not_sent(Reason.EXPIRED))
        elif not self.is_open:
            self._finish(job, _not_sent(self._closed_reason))
        elif not self._serves(job):
            self._finish(job, _not_sent(Reason.NO_TARGET))
        elif self._has_room(now) and not self.queue:
            self.jobs.add(job)
            self._start(job, now)
        else:
            self._enqueue_or_refuse(job, now)

    def _expire(self, job: GuardJob, now: float) -> None:
        """End a run whose deadline has passed."""
        try:
            self._record_timeout(job, now)
        except Exception as error:
            self.fail_run(job, error)
        else:
            self._abort_run(job, Reason.TIME_LIMIT)

    def _is_open_at(self, now: float) -> bool:
        if self.is_stopping or now < self.unreachable_until:
            return False
        if self.is_evacuated:
            return False
        if self.silence_detector.detect_stuck(now, self.run_seconds):
            return False
        return self.reported_target.is_available(now)

    def _enqueue_or_refuse(self, job: GuardJob, now: float) -> None:
        wait = self.expected_wait(job)
        paced_wait = self.terms.wait_for(len(self.queue) + 1, now=now)
        is_call = job.order.is_call
        until = job.expires_at if is_call else job.goal_at
        max_wait = (until - now) * MAX_WAIT_FRACTION - self.run_seconds
        if max(wait, paced_wait) > max_wait:
            reason = Reason.QUEUE_FULL
            if paced_wait > wait:
                reason = Reason.TARGET_LIMIT
            retry_after = max(wait, paced_wait)
            self._finish(job, _not_sent(reason, retry_after=retry_after))
            return
        self.jobs.add(job)
        self.queue.push(job)

    def expected_wait(self, job: GuardJob) -> float:
        """Estimate the seconds until a run that is queued now would start."""
        runs_ahead = self.queue.count_ahead_of(job.goal_at) + 1
        return runs_ahead * self.run_seconds / max(1, self.limit)

    def _has_room(self, now: float) -> bool:
        """Return whether the target may be sent a run now."""
        return self.running < self.limit and self.terms.pace.is_free(now=now)

    def _dispatch(self) -> None:
        while self.queue and self._has_room(self.clock()):
            now = self.clock()
            job = self.queue.pop()
            if job is None:
                return
            if job.expires_at - now < MIN_REMAINING_SECONDS:
                self._finish(job, _not_sent(Reason.EXPIRED))
                continue
            self._start(job, now)

    def _start(self, job: GuardJob, now: float) -> None:
        try:
            self._occupy_slot(job, now)
        except Exception as error:
            self.fail_run(job, error)

    def _occupy_slot(self, job: GuardJob, now: float) -> None:
        """Send a run, or open a connection for it."""
        self.running += 1
        job.holds_slot = True
        job.in_flight = self.running
        self.terms.pace.take(now=now)
        connection = self.pool.acquire(
            now, job.order.request_id, recent=not job.order.may_repeat
        )
        if connection is None:
            job.state = JobState.CONNECTING
            task = asyncio.get_running_loop().create_task(self._connect(job))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self._send(job, connection, now)

    async def _connect(self, job: GuardJob) -> None:
        try:
            await self._connect_and_send(job)
        except Exception as error:
            self.fail_run(job, error)

    async def _connect_and_send(self, job: GuardJob) -> None:
        pool = self.pool
        pace = self.terms.pace
        was_limited = pace.is_limited
        try:
            connection = await pool.open()
        except (OSError, TimeoutError) as error:
            self._refuse_unreachable(job, error)
            return
        now = self.clock()
        if job.state is JobState.ENDED:
            pool.release(connection)
            self._release_slot(job)
        elif not self.is_open or job.expires_at - now < MIN_REMAINING_SECONDS:
            pool.release(connection)
            self._release_slot(job)
            self._finish(job, _not_sent(Reason.DRAINING))
        elif not self._serves(job):
            connection.close()  # either target may have accepted it
            self._release_slot(job)
            self._finish(job, _not_sent(Reason.NO_TARGET))
        elif not self._takes_connected_run(pace, now, was_limited=was_limited):
            pool.release(connection)
            self._release_slot(job)
            self._finish(job, _not_sent(Reason.TARGET_LIMIT))
        else:
            self._send(job, connection, now)

    def _takes_connected_run(
        self,
        pace: 'TargetPace',
        now: float,
        *,
        was_limited: bool,
    ) -> bool:
        """Count a run that began to connect before the target was limited.

        Otherwise a target that has just become cold could get as many requests
        at once as it has slots.
        """
        current = self.terms.pace
        if not current.is_limited or (was_limited and current is pace):
            return True
        if not current.is_free(now=now):
            return False
        current.take(now=now)
        return True

    def _refuse_unreachable(self, job: GuardJob, error: Exception) -> None:
        now = self.clock()
        self.unreachable_until = now + UNREACHABLE_BACKOFF_SECONDS
        self.terms.assume_cold(ColdSource.UNREACHABLE, now)
        self.crash_watch.report_crash(now)
        self.log.write_limited(
            'target-unreachable',
            request=job.order.request_id.decode('latin-1'),
            error=repr(error),
        )
        had_ended = job.state is JobState.ENDED
        self._release_slot(job)
        if not had_ended:
            self._finish(job, _not_sent(Reason.UNREACHABLE))
        self._refuse_waiting(Reason.UNREACHABLE)

    def _note_ended_connections(self) -> None:
        """Take a target that has ended all its connections for restarted.

        Without a run that is lost, or a connection that is refused, nothing
        else shows a restart before its first report.
        """
        if not self.running:
            self.terms.assume_cold(ColdSource.CONNECTIONS_ENDED, self.clock())

    def _send(
        self,
        job: GuardJob,
        connection: ServerConnection,
        now: float,
    ) -> None:
        report = self.reported_target.report
        assert report is not None
        job.state = JobState.RUNNING
        self.silence_detector.record_sent(now)
        job.started_at = now
        job.connection = connection
        order = job.order
        waited = now - job.arrived_at
        self.telemetry.observe('queue_wait_seconds', order.route, waited)
        remaining_ms = max(1, int((job.expires_at - now) * 1000))
        target_deadline = now + remaining_ms / 1000
        job.calls = self.attribution.start_run(order.route, target_deadline)
        joined, apart = order.body, b''
        if len(order.body) > LARGE_BODY_BYTES:
            joined, apart = b'', order.body
        request = b'%s%s: %d\r\n%s: %s\r\n\r\n%s' % (
            order.head,
            self.names.time_left,
            remaining_ms,
            self.names.expected_target,
            report.target.encode(),
            joined,
        )
        connection.exchange(
            request,
            RunListener(self, job),
            order.request_id,
            is_head=order.head.startswith(b'HEAD '),
            body=apart,
        )

    def finish_with_answer(self, job: GuardJob, answer: 'TargetAnswer') -> None:
        """Finish a run with the answer of the target.

        A whole answer is passed on also if nothing can be learned from it.
        """
        outcome = self._outcome_of(answer)
        try:
            self._learn_from_answer(job, answer)
        except Exception as error:
            self._log_failure(job, error)
            assert job.connection is not None
            job.connection.close()
        self._release_slot(job)
        self._finish(job, outcome)
        self._dispatch()

    def _outcome_of(self, answer: 'TargetAnswer') -> Outcome:
        """Return the outcome of a run that the target has answered."""
        if self._is_rejection(answer):
            return self._rejected(answer)
        has_marker = answer.header(self.names.target_answer_marker) is not None
        if answer.is_success and not has_marker:
            return Outcome(OutcomeKind.UNKNOWN, Reason.ANSWER_GARBLED)
        return Outcome(
            OutcomeKind.ANSWERED,
            status=answer.status,
            head=answer_head(answer, self.names),
            body=answer.body,
        )

    def _learn_from_answer(self, job: GuardJob, answer: 'TargetAnswer') -> None:
        """Record what an answer tells of the target; free slot and connection.

        A success without the target's marker is not one of the target's runs.
        """
        now = self.clock()
        seconds = now - job.started_at
        self.telemetry.observe('run_seconds', job.order.route, seconds)
        connection = job.connection
        assert connection is not None
        self._log_refused_bytes('bytes-after-answer', job)
        is_rejection = self._is_rejection(answer)
        if is_rejection:
            connection.note_refusal(job.order.request_id)
        self.pool.release(connection)
        self._release_slot(job, is_whole=answer.is_success)
        self.silence_detector.record_answer(now, is_idle=not self.running)
        self._record_terms(job, answer, now)
        is_failure = is_rejection or answer.status in FAILURE_STATUSES
        self.meter.record_result(is_failure=is_failure, now=now)
        if is_rejection:
            return
        if answer.status == HTTPStatus.GATEWAY_TIMEOUT:
            self._record_timeout(job, now)
        elif (
            answer.is_success
            and answer.header(self.names.target_answer_marker) is not None
        ):
            self._record_run(job, seconds, now)

    def finish_with_loss(self, job: GuardJob, loss: Loss) -> None:
        """Finish a run whose connection broke."""
        self._release_slot(job)
        self.meter.record_result(is_failure=True, now=self.clock())
        self._log_refused_bytes('answer-refused', job)
        if loss is Loss.SILENT:
            self.pool.close()  # the others have usually gone silent as well
        if loss is Loss.CLOSED:
            self.crash_watch.record_loss(job.order, self.clock())
        else:
            self.silence_detector.restart(
                self.clock(), is_idle=not self.running
            )
        self._finish(job, Outcome(OutcomeKind.UNKNOWN, _LOSS_REASON[loss]))
        self._dispatch()

    def _log_refused_bytes(self, kind: str, job: GuardJob) -> None:
        connection = job.connection
        if connection is not None and connection.refusal:
            self.log.write_limited(
                kind,
                request=job.order.request_id.decode('latin-1'),
                route=job.order.route,
                after=self.clock() - job.started_at,
                error=connection.refusal,
            )

    def _record_terms(
        self,
        job: GuardJob,
        answer: 'TargetAnswer',
        now: float,
    ) -> None:
        """Take over what the target says of itself in an answer."""
        report = self.reported_target.report
        if report is None or job.started_at < self.found_at:
            return  # an earlier incarnation speaks of itself
        self.terms.record_answer(
            answer, report, sent_at=job.started_at, now=now
        )
        self.capacity.record_answer(
            answer,
            self.names,
            self.telemetry,
            route=job.order.route,
            now=now,
        )
        is_leaving = says_it_leaves(answer, self.names)
        if is_leaving and self.reported_target.mark_leaving(report.target):
            self._stop_sending(report.target, LeaveSource.ANSWER)

    def _record_run(self, job: GuardJob, seconds: float, now: float) -> None:
        """Learn from the time of a run that succeeded."""
        route = job.order.route
        self.meter.record_run_time(
            route, seconds, slowdown=self.capacity.slowdown.factor(now)
        )
        report = self.reported_target.report
        if (
            report is not None
            and self.capacity.is_learning
            and self._shows_capacity(job)
        ):
            self.capacity.record_run(
                route, seconds, job.in_flight, slots=report.slots, now=now
            )

    def _record_timeout(self, job: GuardJob, now: float) -> None:
        """Learn from a run that did not end within its time."""
        self.meter.record_timeout(
            now - job.started_at, slowdown=self.capacity.slowdown.factor(now)
        )

    def _shows_capacity(self, job: GuardJob) -> bool:
        """Return whether a run's time shows what the target handles.

        Runs of an earlier incarnation, runs that are spaced by a rate and runs
        that wait for onward calls don't.
        """
        return (
            job.started_at >= self.found_at
            and not self.terms.pace.is_limited
            and not self.attribution.calls_per_run(job.order.route)
        )

    def _is_rejection(self, answer: 'TargetAnswer') -> bool:
        return (
            answer.header(self.names.not_run) is not None
            or answer.status == MISDIRECTED_STATUS
        )

    def _rejected(self, answer: 'TargetAnswer') -> Outcome:
        return Outcome(
            OutcomeKind.REJECTED,
            Reason.TARGET_REJECTED,
            status=answer.status,
        )

    def _abort_run(self, job: GuardJob, reason: Reason) -> None:
        if job.connection is not None:
            job.connection.close()
        self._release_slot(job)
        self._finish(job, Outcome(OutcomeKind.UNKNOWN, reason))
        self._dispatch()

    def _stop_sending(self, target: TargetId, source: 'LeaveSource') -> None:
        """Refuse what waits for a target that leaves."""
        self.log.write_unlimited(
            'target-left',
            target=target,
            told_by=source.value,
            running=self.running,
            waiting=len(self.queue),
        )
        self._refuse_waiting(Reason.DRAINING)

    def _serves(self, job: GuardJob) -> bool:
        """Return whether the target is one of the service that a run asks for.

        Another service may take the target's address while the run waits.
        """
        report = self.reported_target.report
        return report is not None and report.service == job.order.service

    def _refuse_other_services(self) -> None:
        """Refuse the waiting runs that ask for another service."""
        others = [job for job in self.queue if not self._serves(job)]
        for job in others:
            self.queue.remove(job)
            self._finish(job, _not_sent(Reason.NO_TARGET))

    def _refuse_waiting(self, reason: Reason) -> None:
        """Refuse all runs that wait for a slot; those started continue."""
        for job in self.queue.pop_all():
            self._finish(job, _not_sent(reason))

    def _release_slot(self, job: GuardJob, *, is_whole: bool = False) -> None:
        if not job.holds_slot:
            return
        job.holds_slot = False
        self.running -= 1
        if job.calls is not None:
            self.attribution.end_run(job.calls, is_whole=is_whole)

    def _finish(self, job: GuardJob, outcome: Outcome) -> None:
        """End a run; a reply that fails keeps no other run from its end."""
        job.state = JobState.ENDED
        self.jobs.discard(job)
        try:
            outcome = outcome._replace(load=self.load)
        except Exception as error:
            self._log_failure(job, error)  # entries keep the load they know
        try:
            job.reply(outcome)
        except Exception as error:
            self._log_failure(job, error)


class RunListener:
    """Pass the end of an HTTP exchange to the guard, with its run."""

    __slots__ = ('guard', 'job')

    def __init__(self, guard: Guard, job: GuardJob) -> None:
        self.guard = guard
        self.job = job

    def answered(self, answer: 'TargetAnswer') -> None:
        """Finish the run with a complete answer."""
        try:
            self.guard.finish_with_answer(self.job, answer)
        except Exception as error:
            self.guard.fail_run(self.job, error)

    def lost(self, loss: Loss) -> None:
        """Finish the run without an answer."""
        try:
            self.guard.finish_with_loss(self.job, loss)
        except Exception as error:
            self.guard.fail_run(self.job, error)


def _not_sent(reason: Reason, *, retry_after: float = 0.0) -> Outcome:
    return Outcome(OutcomeKind.NOT_SENT, reason, retry_after=retry_after)
