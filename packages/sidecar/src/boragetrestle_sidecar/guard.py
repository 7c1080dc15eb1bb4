"""The single gate of the target beside a node."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from boragetrestle_sidecar.answer_head import answer_head
from boragetrestle_sidecar.call_attribution import CallAttribution
from boragetrestle_sidecar.crash_watch import CrashWatch
from boragetrestle_sidecar.guard_job import GuardJob, JobState
from boragetrestle_sidecar.guard_queue import GuardQueue
from boragetrestle_sidecar.outcome import (
    GuardLoad,
    Outcome,
    OutcomeKind,
    Reason,
)
from boragetrestle_sidecar.run_meter import RunMeter
from boragetrestle_sidecar.server_connection import Loss, ServerConnection
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.target_book import TargetBook
from boragetrestle_sidecar.target_pool import TargetPool
from boragetrestle_sidecar.target_silence import TargetSilence
from boragetrestle_sidecar.telemetry import Telemetry

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import TargetId
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.path_settings import PathSettings
    from boragetrestle_sidecar.run_order import RunOrder
    from boragetrestle_sidecar.target_answer import TargetAnswer
    from boragetrestle_sidecar.target_report import TargetReport
    from boragetrestle_sidecar.wire_names import WireNames

# Targets slow down when nearly all of their slots are in use.
SLOT_SHARE = 0.95
UNREACHABLE_SECONDS = 0.3  # a crashed target is back after some seconds
# A run waits at most this share of what is left until its response-time goal.
WAIT_SHARE = 0.8
# After its time limit a run gets this long for the target's own answer.
EXPIRY_GRACE_SECONDS = 0.015
LEAST_LEFT_SECONDS = 0.01  # less than a run of the shortest kind takes
MISDIRECTED = 421
# Failures that a target causes; 504 is the end of the request's time.
FAILURE_STATUSES = frozenset((500, 502, 503))
_LOSS_REASON = {
    Loss.CLOSED: Reason.CONNECTION_LOST,
    Loss.GARBLED: Reason.ANSWER_GARBLED,
}


class Guard:
    """Send runs to one target, never more at once than its slots.

    All requests for the target pass here, so that its queue is the only one
    and its acknowledgement of a drain needs no other node.
    """

    def __init__(
        self,
        settings: 'PathSettings',
        names: 'WireNames',
        log: 'DecisionLog',
        *,
        telemetry: Telemetry | None = None,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.settings = settings
        self.names = names
        self.log = log
        self.telemetry = telemetry or Telemetry()
        self.clock = clock
        self.book = TargetBook(
            settings.target,
            heartbeat=settings.heartbeat_seconds,
        )
        self.pool = TargetPool(settings.target, id_header=names.request_id)
        self.queue = GuardQueue()
        self.meter = RunMeter()
        self.attribution = CallAttribution()
        self.jobs: set[GuardJob] = set()
        self.running = 0
        self.unreachable_until = 0.0
        self.silence = TargetSilence()
        self.crashes = CrashWatch()
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_stopping = False

    @property
    def limit(self) -> int:
        """How many runs the target may hold at once."""
        report = self.book.report
        if report is None:
            return 0
        return max(1, int(report.slots * SLOT_SHARE))

    @property
    def is_open(self) -> bool:
        """Whether runs for the target are taken."""
        now = self.clock()
        if self.is_stopping or now < self.unreachable_until:
            return False
        if self.silence.is_stuck(now, self.meter.run_seconds):
            return False
        return self.book.takes_work(now)

    @property
    def load(self) -> GuardLoad:
        """The load that goes with each outcome."""
        return GuardLoad(
            self.running,
            len(self.queue),
            self.limit,
            self.meter.known_run_seconds,
            round(self.meter.failing_share(self.clock()), 3),
            self.is_open,
        )

    def report(self, report: 'TargetReport') -> None:
        """Take a heartbeat of the target."""
        is_new = self.book.accept(report, self.clock())
        self.silence.is_suspected = False
        if is_new:
            self.crashes.target_restarted(self.clock())
            self.pool.close()
            self.unreachable_until = 0.0
            self.log.always(
                'target-found',
                target=report.target,
                service=report.service,
                started_at=report.started_at,
                slots=report.slots,
                cold_seconds=report.cold_seconds,
            )
        if not self.is_open:
            self._turn_away(Reason.DRAINING)

    def leave(self, target: 'TargetId') -> None:
        """Take a target's word that it leaves."""
        if self.book.leave(target):
            self.log.always('target-left', target=target)
            self._turn_away(Reason.DRAINING)

    def stop(self) -> None:
        """Take no more runs; those at the target go on."""
        self.is_stopping = True
        self._turn_away(Reason.STOPPING)

    def submit(
        self,
        order: 'RunOrder',
        reply: Callable[[Outcome], None],
        *,
        held_up: float = 0.0,
    ) -> GuardJob:
        """Run a request, let it wait, or turn it away at once.

        ``held_up`` is how many seconds it was late on its way here.
        """
        now = self.clock()
        job = GuardJob(
            order,
            reply,
            arrived_at=now,
            expires_at=now + order.time_left - held_up,
            goal_at=now + order.goal_left - held_up,
        )
        report = self.book.report
        if job.expires_at - now < LEAST_LEFT_SECONDS:
            self._end(job, _not_sent(Reason.EXPIRED))
        elif report is None or not self.is_open:
            self._end(job, _not_sent(Reason.NO_TARGET))
        elif report.service != order.service:
            self._end(job, _not_sent(Reason.NO_TARGET))
        elif self.running < self.limit and not self.queue:
            self.jobs.add(job)
            self._start(job, now)
        else:
            self._let_wait(job, now)
        return job

    def cancel(self, job: GuardJob) -> None:
        """Give up a run whose caller has gone.

        A run that may not be repeated is left to end, so that it is not cut in
        the middle of what it changes.
        """
        if job.state is JobState.WAITING:
            self.queue.remove(job)
            self._end(job, _not_sent(Reason.CALLER_GONE))
        elif job.state is JobState.CONNECTING:
            job.state = JobState.ENDED
            self.jobs.discard(job)
        elif job.state is JobState.RUNNING and job.order.may_repeat:
            self._break_off(job, Reason.CALLER_GONE)

    def sweep(self) -> None:
        """Give up runs whose time is up; called every few milliseconds."""
        now = self.clock()
        for job in self.queue.take_expired(now + LEAST_LEFT_SECONDS):
            self._end(job, _not_sent(Reason.EXPIRED))
        for job in list(self.jobs):
            is_over = now > job.expires_at + EXPIRY_GRACE_SECONDS
            if is_over and job.state is JobState.RUNNING:
                self._break_off(job, Reason.TIME_LIMIT)
        self._dispatch()

    def _let_wait(self, job: GuardJob, now: float) -> None:
        wait = self.expected_wait(job)
        is_call = job.order.is_call
        until = job.expires_at if is_call else job.goal_at
        longest = (until - now) * WAIT_SHARE - self.meter.run_seconds
        if wait > longest:
            self._end(
                job,
                _not_sent(Reason.QUEUE_FULL, retry_after=wait),
            )
            return
        self.jobs.add(job)
        self.queue.push(job)

    def expected_wait(self, job: GuardJob) -> float:
        """Return the seconds until a run that is queued now would start."""
        ahead = self.queue.ahead_of(job.goal_at) + 1
        return ahead * self.meter.run_seconds / max(1, self.limit)

    def _dispatch(self) -> None:
        while self.queue and self.running < self.limit:
            now = self.clock()
            job = self.queue.pop()
            if job is None:
                return
            if job.expires_at - now < LEAST_LEFT_SECONDS:
                self._end(job, _not_sent(Reason.EXPIRED))
                continue
            self._start(job, now)

    def _start(self, job: GuardJob, now: float) -> None:
        self.running += 1
        connection = self.pool.take(now, recent=not job.order.may_repeat)
        if connection is None:
            job.state = JobState.CONNECTING
            task = asyncio.get_running_loop().create_task(self._connect(job))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self._send(job, connection, now)

    async def _connect(self, job: GuardJob) -> None:
        pool = self.pool
        try:
            connection = await pool.open()
        except (OSError, TimeoutError) as error:
            self._refuse_unreachable(job, error)
            return
        now = self.clock()
        if job.state is JobState.ENDED:
            pool.give_back(connection)
            self._release(job)
        elif not self.is_open or job.expires_at - now < LEAST_LEFT_SECONDS:
            pool.give_back(connection)
            self._release(job)
            self._end(job, _not_sent(Reason.DRAINING))
        else:
            self._send(job, connection, now)

    def _refuse_unreachable(self, job: GuardJob, error: Exception) -> None:
        now = self.clock()
        self.unreachable_until = now + UNREACHABLE_SECONDS
        self.crashes.target_restarted(now)
        self.log.line(
            'target-unreachable',
            request=job.order.request_id.decode('latin-1'),
            error=repr(error),
        )
        was_gone = job.state is JobState.ENDED
        self._release(job)
        if not was_gone:
            self._end(job, _not_sent(Reason.UNREACHABLE))
        self._turn_away(Reason.UNREACHABLE)

    def _send(
        self,
        job: GuardJob,
        connection: ServerConnection,
        now: float,
    ) -> None:
        report = self.book.report
        assert report is not None
        job.state = JobState.RUNNING
        self.silence.started(now)
        job.started_at = now
        job.connection = connection
        order = job.order
        waited = now - job.arrived_at
        self.telemetry.observe('queue_wait_seconds', order.route, waited)
        left = max(1, int((job.expires_at - now) * 1000))
        told = now + left / 1000
        job.calls = self.attribution.started(order.route, told)
        request = b'%s%s: %d\r\n%s: %s\r\n\r\n%s' % (
            order.head,
            self.names.time_left,
            left,
            self.names.expected_target,
            report.target.encode(),
            order.body,
        )
        connection.exchange(
            request,
            RunListener(self, job),
            order.request_id,
            is_head=order.head.startswith(b'HEAD '),
        )

    def take_answer(self, job: GuardJob, answer: 'TargetAnswer') -> None:
        """End a run with the answer of the target."""
        now = self.clock()
        seconds = now - job.started_at
        self.telemetry.observe('run_seconds', job.order.route, seconds)
        connection = job.connection
        assert connection is not None
        self.pool.give_back(connection)
        self._release(job, is_whole=answer.is_success)
        self.silence.answered(now, is_idle=not self.running)
        is_rejection = self._is_rejection(answer)
        is_failure = is_rejection or answer.status in FAILURE_STATUSES
        self.meter.note_failure(is_failure=is_failure, now=now)
        if is_rejection:
            self._end(job, self._rejected(answer))
        elif (
            answer.is_success and answer.header(self.names.answer_seal) is None
        ):
            self._end(job, Outcome(OutcomeKind.UNKNOWN, Reason.ANSWER_GARBLED))
        else:
            if answer.is_success:
                self.meter.end(job.order.route, seconds)
            self._end(
                job,
                Outcome(
                    OutcomeKind.ANSWERED,
                    status=answer.status,
                    head=answer_head(answer, self.names),
                    body=answer.body,
                ),
            )
        self._dispatch()

    def take_loss(self, job: GuardJob, loss: Loss) -> None:
        """End a run whose connection broke."""
        self._release(job)
        self.meter.note_failure(is_failure=True, now=self.clock())
        if loss is Loss.CLOSED:
            self.crashes.lost(job.order, self.clock())
        self._end(job, Outcome(OutcomeKind.UNKNOWN, _LOSS_REASON[loss]))
        self._dispatch()

    def _is_rejection(self, answer: 'TargetAnswer') -> bool:
        return (
            answer.header(self.names.not_run) is not None
            or answer.status == MISDIRECTED
        )

    def _rejected(self, answer: 'TargetAnswer') -> Outcome:
        return Outcome(
            OutcomeKind.REJECTED,
            Reason.TARGET_REJECTED,
            status=answer.status,
        )

    def _break_off(self, job: GuardJob, reason: Reason) -> None:
        if job.connection is not None:
            job.connection.close()
        self._release(job)
        self._end(job, Outcome(OutcomeKind.UNKNOWN, reason))
        self._dispatch()

    def _turn_away(self, reason: Reason) -> None:
        """Turn away all runs that wait; others run to their end."""
        for job in self.queue.take_all():
            self._end(job, _not_sent(reason))

    def _release(self, job: GuardJob, *, is_whole: bool = False) -> None:
        self.running -= 1
        if job.calls is not None:
            self.attribution.ended(job.calls, is_whole=is_whole)

    def _end(self, job: GuardJob, outcome: Outcome) -> None:
        job.state = JobState.ENDED
        self.jobs.discard(job)
        job.reply(outcome._replace(load=self.load))


class RunListener:
    """Carry the end of an exchange back to its run."""

    __slots__ = ('guard', 'job')

    def __init__(self, guard: Guard, job: GuardJob) -> None:
        self.guard = guard
        self.job = job

    def answered(self, answer: 'TargetAnswer') -> None:
        """Take the whole answer."""
        self.guard.take_answer(self.job, answer)

    def lost(self, loss: Loss) -> None:
        """Learn that no answer will come."""
        self.guard.take_loss(self.job, loss)


def _not_sent(reason: Reason, *, retry_after: float = 0.0) -> Outcome:
    return Outcome(OutcomeKind.NOT_SENT, reason, retry_after=retry_after)
