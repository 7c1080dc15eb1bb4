"""Guards: slots, drains, incarnations of targets, outcomes of runs."""

import asyncio

import pytest
from path_builders import GuardHarness, open_connection, report, run_order
from virtual_loop import run_virtual

from boragetrestle_sidecar.outcome import OutcomeKind, Reason
from boragetrestle_sidecar.server_connection import ServerConnection
from boragetrestle_sidecar.target_report import TargetReport, TargetState
from boragetrestle_sidecar.target_silence import MIN_SILENT_SECONDS


def test_queue_waits_and_run_times_are_measured() -> None:
    """The two metrics distinguish a slow target from a full one."""
    bench = GuardHarness(slots=1)
    first = bench.submit(run_order('r-1'))
    second = bench.submit(run_order('r-2'))
    bench.clock.now += 0.2
    bench.answer(first)
    bench.clock.now += 0.3
    bench.answer(second)
    text = bench.guard.telemetry.render()
    assert 'queue_wait_seconds_sum{of="browse"} 0.2' in text
    assert 'run_seconds_sum{of="browse"} 0.5' in text


def test_run_names_the_target_and_the_time_left() -> None:
    """A target needs both to keep deadlines and refuse misrouted requests."""
    bench = GuardHarness()
    bench.submit(run_order(time_left=0.5))
    assert b'time-left: 500\r\n' in bench.sent()
    assert b'target: t-1\r\n' in bench.sent()


@pytest.mark.parametrize('now', [0.0, 1e9])
def test_idle_connection_is_used_again(now: float) -> None:
    """The machine may have been up for a second, or for years."""
    bench = GuardHarness(connections=0)
    bench.clock.now = now
    bench.guard.handle_heartbeat(report(sequence=2))
    bench.connect(1)
    for number in range(3):
        job = bench.submit(run_order(f'r-{number}'))
        bench.clock.now += 0.1
        bench.answer(job)
    assert len(bench.outcomes) == 3


def test_target_never_holds_more_than_its_slots() -> None:
    """Runs beyond the slots wait, and one starts after each answer."""
    bench = GuardHarness(slots=2)
    first = bench.submit(run_order('r-1'))
    bench.submit(run_order('r-2'))
    bench.submit(run_order('r-3'))
    assert bench.guard.running == bench.guard.limit
    bench.answer(first)
    assert bench.guard.running == bench.guard.limit


def test_whole_answer_is_passed_on() -> None:
    """The outcome contains status, seal and body of the target."""
    bench = GuardHarness()
    bench.answer(bench.submit(run_order()))
    outcome = bench.outcomes['r-1']
    assert outcome.kind is OutcomeKind.ANSWERED
    assert outcome.body == b'whole'
    assert b'seal: s\r\n' in outcome.head


def test_drain_turns_away_what_waits_and_lets_the_rest_end() -> None:
    """A draining target is sent nothing more; its runs may finish."""
    bench = GuardHarness(slots=1)
    running = bench.submit(run_order('r-1'))
    bench.submit(run_order('r-2'))
    bench.guard.handle_heartbeat(report(state=TargetState.DRAINING, sequence=2))
    sent = bench.sent()
    late = bench.submit(run_order('r-3'))
    assert bench.outcomes['r-2'].kind is OutcomeKind.NOT_SENT
    assert bench.outcomes['r-3'].kind is OutcomeKind.NOT_SENT
    assert late.connection is None
    assert bench.sent() == sent
    bench.answer(running)
    assert bench.outcomes['r-1'].kind is OutcomeKind.ANSWERED


def test_leave_without_drain_stops_work_as_well() -> None:
    """A target that only announces that it leaves gets no more runs."""
    bench = GuardHarness()
    bench.guard.handle_leaving(report().target)
    bench.guard.handle_heartbeat(report(sequence=2))
    assert not bench.guard.is_open


@pytest.mark.parametrize(
    'late',
    [
        report(sequence=1),
        report(target='t-0', started_at=0, sequence=99),
    ],
)
def test_late_report_does_not_undo_a_drain(late: TargetReport) -> None:
    """Neither an older report nor an earlier incarnation reopens a guard."""
    bench = GuardHarness()
    bench.guard.handle_heartbeat(report(state=TargetState.DRAINING, sequence=5))
    bench.guard.handle_heartbeat(late)
    assert not bench.guard.is_open


def test_new_incarnation_under_the_same_id_takes_work() -> None:
    """A restarted target counts its reports from the beginning."""
    bench = GuardHarness()
    bench.guard.handle_heartbeat(
        report(state=TargetState.DRAINING, sequence=50)
    )
    bench.guard.handle_heartbeat(report(started_at=2, sequence=1))
    assert bench.guard.is_open


def test_target_that_stops_reporting_gets_no_work() -> None:
    """A guard refuses runs after several missed heartbeats."""
    bench = GuardHarness()
    bench.clock.now += 60
    assert not bench.guard.is_open


def test_run_for_another_service_is_not_sent() -> None:
    """An address may have been taken over by another service's target."""
    bench = GuardHarness()
    bench.guard.handle_heartbeat(
        report(target='t-2', started_at=2, service='gates')
    )
    bench.submit(run_order())
    assert bench.outcomes['r-1'].reason is Reason.NO_TARGET
    assert bench.sent() == b''


# Guards against runs at a service that took the address over meanwhile.
def test_waiting_run_is_not_sent_to_a_service_that_took_the_address() -> None:
    """It waited for a target of its own service, which has ended."""
    bench = GuardHarness(slots=1, connections=2)
    bench.submit(run_order('r-1'))
    bench.submit(run_order('r-2'))
    sent = bench.sent()
    bench.guard.handle_heartbeat(
        report(target='t-2', started_at=2, service='gates', slots=9)
    )
    bench.connect(1)
    bench.guard.sweep()
    assert bench.sent() == sent
    assert bench.outcomes['r-2'].kind is OutcomeKind.NOT_SENT
    assert bench.outcomes['r-2'].reason is Reason.NO_TARGET


# Guards against runs at a service that took the address over meanwhile.
def test_run_that_connects_is_not_sent_to_a_service_that_took_the_address() -> (
    None
):
    """The connection may have been accepted by either target."""

    async def test() -> None:
        bench = GuardHarness(connections=0)
        connection, transport = open_connection(clock=bench.clock)
        is_accepted = asyncio.Event()

        async def open_later() -> ServerConnection:
            await is_accepted.wait()
            return connection

        bench.guard.pool.open = open_later  # type: ignore[method-assign]
        bench.submit(run_order())
        bench.guard.handle_heartbeat(
            report(target='t-2', started_at=2, service='gates')
        )
        is_accepted.set()
        await asyncio.sleep(0.1)
        assert transport.written == b''
        assert bench.outcomes['r-1'].kind is OutcomeKind.NOT_SENT
        assert bench.guard.running == 0

    run_virtual(test())


def test_waiting_run_is_sent_to_the_next_target_of_its_service() -> None:
    """A restart of its target is no reason to refuse it."""
    bench = GuardHarness(slots=1, connections=2)
    bench.submit(run_order('r-1'))
    bench.submit(run_order('r-2'))
    bench.guard.handle_heartbeat(report(target='t-2', started_at=2, slots=9))
    bench.connect(1)
    bench.guard.sweep()
    assert b'target: t-2\r\n' in bench.sent()


def test_run_that_was_held_up_is_dropped_when_its_time_is_over() -> None:
    """A partitioned link may deliver late; the run must not start then."""
    bench = GuardHarness()
    bench.submit(run_order(time_left=0.6), transit_delay=4.8)
    assert bench.outcomes['r-1'].reason is Reason.EXPIRED
    assert bench.sent() == b''


def test_rejection_of_the_target_says_that_nothing_ran() -> None:
    """A full target states that it did not run the request."""
    bench = GuardHarness()
    job = bench.submit(run_order(may_repeat=False))
    bench.answer(job, status=503, extra=b'not-run: 1\r\n')
    assert bench.outcomes['r-1'].kind is OutcomeKind.REJECTED


def test_success_without_the_seal_is_not_passed_on() -> None:
    """A success without the seal does not come from the target itself."""
    bench = GuardHarness()
    bench.answer(bench.submit(run_order()), extra=b'')
    assert bench.outcomes['r-1'].kind is OutcomeKind.UNKNOWN


def test_broken_connection_leaves_the_outcome_unknown() -> None:
    """A request that was sent may have run."""
    bench = GuardHarness()
    job = bench.submit(run_order(may_repeat=False))
    job.connection.connection_lost(ConnectionResetError())
    assert bench.outcomes['r-1'].kind is OutcomeKind.UNKNOWN


def test_caller_that_leaves_frees_the_slot_of_a_repeatable_run() -> None:
    """The target stops work when its connection closes."""
    bench = GuardHarness(slots=1)
    job = bench.submit(run_order())
    bench.guard.cancel(job)
    assert bench.guard.running == 0
    assert bench.transports[-1].is_closed


def test_caller_that_leaves_while_its_run_connects_is_reported() -> None:
    """The run would be counted at the guard for ever."""

    async def test() -> None:
        bench = GuardHarness(connections=0)
        job = bench.submit(run_order())
        bench.guard.cancel(job)
        assert bench.outcomes['r-1'].reason is Reason.CALLER_GONE
        await asyncio.sleep(1)
        assert bench.guard.running == 0

    run_virtual(test())


def test_run_that_must_not_repeat_ends_although_its_caller_left() -> None:
    """The changes that it makes are not interrupted."""
    bench = GuardHarness(slots=1)
    job = bench.submit(run_order(may_repeat=False))
    bench.guard.cancel(job)
    assert bench.guard.running == 1


def test_expired_run_is_given_up_without_having_been_sent() -> None:
    """The outcome states that the request has not run."""
    bench = GuardHarness(slots=1)
    bench.submit(run_order('r-1', time_left=5))
    bench.submit(run_order('r-2', time_left=0.2, goal_left=1.0))
    bench.clock.now += 0.3
    bench.guard.sweep()
    assert bench.outcomes['r-2'].reason is Reason.EXPIRED


def test_silent_target_is_closed_until_its_next_heartbeat() -> None:
    """A frozen target accepts requests and answers none."""
    bench = GuardHarness(slots=4)
    bench.submit(run_order('r-1', time_left=9))
    bench.clock.now += 1
    assert not bench.guard.is_open
    bench.guard.handle_heartbeat(report(sequence=2))
    assert bench.guard.is_open


# Guards against bytes that are no answer being taken for silence.
def test_target_with_a_refused_answer_is_not_silent() -> None:
    """It stays open although it has answered nothing for long."""
    bench = GuardHarness()
    job = bench.submit(run_order())
    bench.clock.now += MIN_SILENT_SECONDS * 0.8
    job.connection.data_received(b'no answer')
    bench.clock.now += MIN_SILENT_SECONDS * 0.8
    assert bench.guard.is_open


def test_connection_that_breaks_alone_is_no_crash() -> None:
    """Requests become suspects only if the target restarts afterwards."""
    bench = GuardHarness()
    told: list[object] = []
    bench.guard.crash_watch.on_crash = told.extend
    job = bench.submit(run_order())
    job.connection.connection_lost(ConnectionResetError())
    bench.guard.handle_heartbeat(report(sequence=2))
    assert not told
    bench.guard.handle_heartbeat(report(started_at=2))
    assert len(told) == 1


def test_stopping_guard_turns_away_new_runs() -> None:
    """The outcome lets the entry send them to another node."""
    bench = GuardHarness()
    bench.guard.stop()
    bench.submit(run_order())
    assert bench.outcomes['r-1'].kind is OutcomeKind.NOT_SENT
