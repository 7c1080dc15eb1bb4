"""Targets that name a rate limit or say that they leave."""

import asyncio
import math
from collections.abc import Sequence
from typing import Any

import pytest
from entry_builders import EntryHarness, node_load, request_bytes
from path_builders import (
    NAMES,
    GuardHarness,
    LineLog,
    ManualClock,
    report,
    run_order,
    settings,
)
from path_standins import Host, MemoryStore
from test_path_nodes import call, run_with_hosts, sees_open_guards, wait_until

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.guard import Guard
from boragetrestle_sidecar.outcome import OutcomeKind, Reason
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.target_notice import TargetNotice
from boragetrestle_sidecar.target_report import TargetState

WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.02
RUN_SECONDS = 0.1


def allowed(rate_limit: float) -> float:
    """Return the requests that are allowed in a window."""
    return 1.5 * rate_limit * WINDOW_SECONDS + 5


def most_in_window(times: Sequence[float]) -> int:
    """Return the largest number of times within a window."""
    return max(
        (
            sum(began <= at < began + WINDOW_SECONDS for at in times)
            for began in times
        ),
        default=0,
    )


class LimitedTarget:
    """A guard under heavy load, with a target that names a limit."""

    def __init__(
        self,
        *,
        slots: int = 20,
        heartbeat: float = STEP_SECONDS,
    ) -> None:
        self.slots = slots
        self.heartbeat = heartbeat
        self.reported_at = 0.0
        self.started_at = 1
        self.warm_at = 0.0
        self.bench = GuardHarness(slots=slots, connections=200)
        self.rate_limit: bytes | None = None
        self.sent_at: list[float] = []
        self.running: list[Any] = []
        self.jobs: list[Any] = []
        self.count = 0
        self.reports = 1

    def play(self, seconds: float, *, a_second: float = 100.0) -> None:
        """Submit runs at a rate and let the target answer each in time."""
        clock = self.bench.clock
        due = 0.0
        for _ in range(round(seconds / STEP_SECONDS)):
            clock.now += STEP_SECONDS
            due += a_second * STEP_SECONDS
            self._report()
            while due >= 1:
                due -= 1
                self.count += 1
                order = run_order(f'r-{self.count}')
                self.jobs.append(self.bench.submit(order))
            self.bench.guard.sweep()
            self._answer_due()

    def report(self) -> None:
        """Send a heartbeat now."""
        now = self.bench.clock.now
        self.reported_at = now
        self.reports += 1
        self.bench.guard.handle_heartbeat(
            report(
                started_at=self.started_at,
                sequence=self.reports,
                slots=self.slots,
                cold_seconds=max(0.0, self.warm_at - now),
            )
        )

    def _report(self) -> None:
        if self.bench.clock.now - self.reported_at >= self.heartbeat:
            self.report()

    def _answer_due(self) -> None:
        for job in list(self.jobs):
            if job.connection is not None and job not in self.running:
                self.running.append(job)
                self.sent_at.append(job.started_at)
            if job.state.value == 'ended':
                self.jobs.remove(job)
            elif self.bench.clock.now - job.started_at >= RUN_SECONDS and (
                job.connection is not None
            ):
                self.bench.answer(job, extra=self._headers())
                job.connection.idle_since = self.bench.clock.now

    def _headers(self) -> bytes:
        if self.rate_limit is None:
            return b'seal: s\r\n'
        return b'seal: s\r\nrate-limit: %s\r\n' % self.rate_limit


@pytest.mark.parametrize('named', [b'0', b'0.1', b'1', b'2.3', b'18.8', b'60'])
def test_target_gets_no_more_requests_than_the_limit_that_it_named(
    named: bytes,
) -> None:
    """The load is a hundred a second, and the slots allow twice as much."""
    target = LimitedTarget()
    target.play(3)
    target.rate_limit = named
    target.play(1)
    began = target.bench.clock.now
    target.play(16)
    since = [at for at in target.sent_at if at >= began]
    assert most_in_window(since) <= allowed(float(named))
    assert len(since) >= 0.8 * min(100.0, float(named)) * 16


def test_target_that_lifts_its_limit_gets_all_requests_again() -> None:
    """The limit holds as long as its answers name it."""
    target = LimitedTarget()
    target.rate_limit = b'2'
    target.play(5)
    target.rate_limit = None
    target.play(2)
    before = len(target.sent_at)
    target.play(4)
    assert len(target.sent_at) - before >= 390


def test_limit_that_changes_in_series_holds_each_time() -> None:
    """Between two values the target may lift it."""
    target = LimitedTarget()
    for named in (b'5', None, b'1', b'30', b'1', None, b'0.5'):
        target.rate_limit = named
        target.play(1.5)
        began = target.bench.clock.now
        target.play(6)
        since = [at for at in target.sent_at if at >= began]
        if named is not None:
            assert most_in_window(since) <= allowed(float(named))


def test_runs_beyond_the_limit_are_refused_at_once_as_not_sent() -> None:
    """Callers learn when the target takes one again."""
    target = LimitedTarget()
    target.rate_limit = b'1'
    target.play(6)
    outcomes = target.bench.outcomes.values()
    refused = [each for each in outcomes if each.kind is OutcomeKind.NOT_SENT]
    assert any(each.reason is Reason.TARGET_LIMIT for each in refused)
    assert all(
        each.retry_after > 0
        for each in refused
        if each.reason is Reason.TARGET_LIMIT
    )


@pytest.mark.parametrize('named', [b'', b'-1', b'nan', b'1e3', b'x', b'9' * 40])
def test_limit_that_is_no_number_changes_nothing(named: bytes) -> None:
    """The limit that was named before holds."""
    target = LimitedTarget()
    target.rate_limit = b'2'
    target.play(3)
    target.rate_limit = named
    target.play(2)
    began = target.bench.clock.now
    target.play(6)
    since = [at for at in target.sent_at if at >= began]
    assert most_in_window(since) <= allowed(2)
    assert 'target-limit-refused' in target.bench.log.kinds()


def test_target_that_says_it_leaves_gets_no_more_requests() -> None:
    """It may report for seconds that it is ready."""
    bench = GuardHarness(slots=2)
    running = bench.submit(run_order('r-1'))
    bench.submit(run_order('r-2'))
    bench.submit(run_order('r-3'))
    sent = bench.sent()
    bench.answer(running, extra=b'seal: s\r\nleaving: 1\r\n')
    bench.guard.handle_heartbeat(report(sequence=2, slots=2))
    late = bench.submit(run_order('r-4'))
    assert bench.outcomes['r-1'].kind is OutcomeKind.ANSWERED
    assert bench.outcomes['r-3'].kind is OutcomeKind.NOT_SENT
    assert bench.outcomes['r-4'].kind is OutcomeKind.NOT_SENT
    assert late.connection is None
    assert bench.sent() == sent


def test_target_leaves_although_its_limit_is_no_number() -> None:
    """One malformed header does not hide the other."""
    bench = GuardHarness()
    running = bench.submit(run_order('r-1'))
    extra = b'seal: s\r\nrate-limit: x\r\nleaving: 1\r\n'
    bench.answer(running, extra=extra)
    assert not bench.guard.is_open


def test_limit_that_one_peer_remembers_outlasts_the_notice_of_another() -> None:
    """The other was told of a drain only."""
    guard = Guard(settings(), NAMES, LineLog(), clock=ManualClock())
    guard.handle_notice(TargetNotice('t-1', 1, rate_limit=2.0))
    guard.handle_notice(TargetNotice('t-1', 1, drain_sequence=1))
    guard.handle_heartbeat(report(sequence=2))
    assert guard.is_open
    assert guard.terms.pace.is_limited


def test_next_incarnation_of_a_target_that_left_gets_requests() -> None:
    """It may come back under the same id."""
    bench = GuardHarness()
    running = bench.submit(run_order('r-1'))
    bench.answer(running, extra=b'seal: s\r\nleaving: 1\r\n')
    bench.guard.handle_heartbeat(report(started_at=2))
    assert bench.guard.is_open


def test_next_incarnation_of_a_target_that_left_is_no_sign_of_a_crash() -> None:
    """Answers that it lost before are no fault of their requests."""
    bench = GuardHarness()
    crashes: list[Any] = []
    bench.guard.crash_watch.on_crash = crashes.append
    lost = bench.submit(run_order('r-1'))
    last = bench.submit(run_order('r-2'))
    lost.connection.connection_lost(None)
    bench.answer(last, extra=b'seal: s\r\nleaving: 1\r\n')
    bench.clock.now += 3
    bench.guard.handle_heartbeat(report(target='t-2', started_at=2))
    assert not crashes


def test_answer_of_an_earlier_incarnation_says_nothing_of_the_next() -> None:
    """It may come after the report of the new one."""
    bench = GuardHarness()
    running = bench.submit(run_order('r-1'))
    bench.clock.now += 1
    bench.guard.handle_heartbeat(report(started_at=2))
    extra = b'seal: s\r\nleaving: 1\r\nrate-limit: 1\r\n'
    bench.answer(running, extra=extra)
    assert bench.guard.is_open
    assert not bench.guard.terms.pace.is_limited


def test_limit_that_peers_remember_holds_until_the_target_has_answered() -> (
    None
):
    """The node beside the target has restarted and knows nothing yet."""
    bench = GuardHarness(slots=20, connections=20)
    bench.guard.handle_notice(TargetNotice('t-1', 1, rate_limit=2.0))
    bench.clock.now += 1
    first = bench.submit(run_order('r-1'))
    later = [bench.submit(run_order(f'r-{number}')) for number in range(2, 6)]
    assert first.connection is not None
    assert all(job.connection is None for job in later)
    bench.answer(first)
    assert not bench.guard.terms.pace.is_limited
    bench.guard.handle_notice(TargetNotice('t-1', 1, rate_limit=2.0))
    assert not bench.guard.terms.pace.is_limited


@pytest.mark.parametrize('started_at', [0, 2])
def test_what_peers_remember_of_another_incarnation_is_not_applied(
    started_at: int,
) -> None:
    """A target may come back under the id that it had."""
    bench = GuardHarness()
    notice = TargetNotice('t-1', started_at, rate_limit=1.0, is_leaving=True)
    bench.guard.handle_notice(notice)
    assert bench.guard.is_open
    assert not bench.guard.terms.pace.is_limited


def test_what_peers_remember_is_applied_to_a_target_that_reports_later() -> (
    None
):
    """Links are often up before the first report."""
    bench = GuardHarness()
    bench.guard.handle_notice(TargetNotice('t-2', 5, rate_limit=1.0))
    bench.guard.handle_notice(TargetNotice('t-1', 4, is_leaving=True))
    bench.guard.handle_heartbeat(report(target='t-2', started_at=5))
    assert bench.guard.terms.pace.is_limited
    assert bench.guard.is_open


@pytest.mark.parametrize('rate_limit', [math.nan, math.inf, -1.0])
def test_limit_that_no_target_can_name_is_not_believed_from_a_peer(
    rate_limit: float,
) -> None:
    """The link on which it came is closed."""
    bench = GuardHarness()
    with pytest.raises(WireError):
        bench.guard.handle_notice(TargetNotice('t-1', 1, rate_limit))
    assert not bench.guard.terms.pace.is_limited


@pytest.mark.parametrize('comes_first', ['notice', 'report'])
def test_report_from_before_a_drain_does_not_open_a_guard_that_restarted(
    comes_first: str,
) -> None:
    """A target that is ready again says so with a newer number."""
    guard = Guard(settings(), NAMES, LineLog(), clock=ManualClock())
    notice = TargetNotice('t-1', 1, drain_sequence=5)
    steps = [
        lambda: guard.handle_notice(notice),
        lambda: guard.handle_heartbeat(report(sequence=4)),
    ]
    for step in steps if comes_first == 'notice' else reversed(steps):
        step()
    assert not guard.is_open
    guard.handle_heartbeat(report(sequence=6))
    assert guard.is_open


def test_guard_of_a_draining_target_lets_entries_remember_it() -> None:
    """They are told with each load."""
    bench = GuardHarness()
    bench.guard.handle_heartbeat(report(state=TargetState.DRAINING, sequence=2))
    assert bench.guard.load.notice == TargetNotice('t-1', 1, drain_sequence=2)


def test_entry_remembers_a_notice_over_the_loss_of_its_link() -> None:
    """A guard that is not open yet may not know it any more."""
    entry = EntryHarness()
    fleet = entry.fleet
    notice = TargetNotice('t-1', 1, rate_limit=2.0)
    known = node_load('a')
    fleet.update_load(known._replace(load=known.load._replace(notice=notice)))
    fleet.mark_unreachable('a')
    fleet.remove('a')
    assert fleet.notices == {'a': notice}
    fleet.add('a', entry.hops['a'])
    fleet.update_load(known._replace(load=known.load._replace(is_open=False)))
    assert fleet.notices == {'a': notice}
    fleet.update_load(known)
    assert not fleet.notices


async def keep_calling(host: Host, name: str, seconds: float) -> None:
    """Let callers of one host send forty requests a second."""
    tasks = set()
    until = steady_now() + seconds
    number = 0
    while steady_now() < until:
        number += 1
        sent = request_bytes(f'{name}-{number}')
        tasks.add(asyncio.create_task(call(host, sent)))
        await asyncio.sleep(0.025)
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.loopback
def test_limit_holds_over_restarts_of_the_node_beside_the_target() -> None:
    """The callers' node was told of the limit and goes on."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        limited, other = hosts
        limited.target.extra_headers = b'Rate-Limit: 2\r\n'
        limited.target.answers_after = 0.3
        await keep_calling(other, 'before', 1.5)
        began = steady_now()
        for number in range(3):
            await limited.restart_node()
            limited.report(sequence=number + 2)
            await keep_calling(other, f'after-{number}', 1.2)
        since = [at for at in limited.target.run_times if at >= began]
        assert most_in_window(since) <= allowed(2)

    run_with_hosts(test)


@pytest.mark.loopback
def test_target_that_left_is_not_used_after_a_restart_of_its_node() -> None:
    """Its report that it is ready may come late."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        leaving, other = hosts
        leaving.target.extra_headers = b'Leaving: 1\r\n'
        await keep_calling(other, 'before', 1.0)
        runs = len(leaving.target.runs)
        assert runs
        for number in range(2):
            await leaving.restart_node()
            leaving.report(sequence=number + 2)
            await keep_calling(other, f'after-{number}', 1.0)
        assert len(leaving.target.runs) == runs

    run_with_hosts(test)


@pytest.mark.loopback
def test_drain_that_was_acknowledged_holds_after_a_restart_of_the_node() -> (
    None
):
    """A report from before the drain may come late."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        leaving, other = hosts
        leaving.node.guard.handle_leaving(
            report(target=f't-{leaving.ip}').target
        )
        await wait_until(lambda: not sees_open_guards(other, 2))
        runs = len(leaving.target.runs)
        await leaving.restart_node()
        leaving.report(sequence=2)
        await keep_calling(other, 'after', 1.0)
        assert len(leaving.target.runs) == runs

    run_with_hosts(test)
