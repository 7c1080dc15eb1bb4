"""Targets that crash if they get many requests while they are cold."""

import asyncio
from collections.abc import Sequence

from path_builders import configuration, report, run_order
from test_path_target_terms import LimitedTarget

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_sidecar.cold_phase import MIN_ASSUMED_SECONDS
from boragetrestle_sidecar.guard_job import JobState

COLD_RATE = 6.0
ALLOWED_IN_SECOND = COLD_RATE * 1.5 + 8
HEARTBEAT_SECONDS = 1.5


def most_in_second(times: Sequence[float]) -> int:
    """Return the largest number of times within a second."""
    return max(
        (sum(began <= at <= began + 1 for at in times) for began in times),
        default=0,
    )


def cold_target() -> LimitedTarget:
    """Return a target under a hundred requests a second, warm at first."""
    target = LimitedTarget(heartbeat=HEARTBEAT_SECONDS)
    target.bench.guard.configure(
        configuration(cold_rates={ServiceName('walks'): COLD_RATE})
    )
    target.play(3)
    return target


def run_order_without_target(target: LimitedTarget) -> None:
    """Submit a run while nothing listens at the target's address."""

    async def submit() -> None:
        target.bench.submit(run_order('unreachable'))
        await asyncio.sleep(0.2)

    asyncio.run(submit())


def restart_cold(target: LimitedTarget, seconds: float) -> float:
    """Let a target start anew, cold; return the time."""
    target.started_at += 1
    target.reports = 0
    target.warm_at = target.bench.clock.now + seconds
    target.report()
    target.bench.connect(200)
    return target.bench.clock.now


def test_cold_target_gets_no_more_requests_than_it_takes() -> None:
    """The load is a hundred requests a second, for a crash enough."""
    target = cold_target()
    began = restart_cold(target, 3.0)
    target.play(2.9)
    since = [at for at in target.sent_at if at >= began]
    assert most_in_second(since) <= ALLOWED_IN_SECOND
    assert len(since) >= 0.8 * COLD_RATE * 2.9


def test_target_that_has_warmed_gets_all_requests_again() -> None:
    """Its last report states the time; no further one is needed."""
    target = cold_target()
    restart_cold(target, 3.0)
    target.play(3.5)
    before = len(target.sent_at)
    target.play(2)
    assert len(target.sent_at) - before >= 190


def test_target_that_is_cold_again_without_a_restart_is_spared() -> None:
    """Its heartbeats tell."""
    target = cold_target()
    target.warm_at = target.bench.clock.now + 4
    target.report()
    began = target.bench.clock.now
    target.play(3.9)
    since = [at for at in target.sent_at if at > began]
    assert most_in_second(since) <= ALLOWED_IN_SECOND


def test_cold_phases_in_series_hold_each_time() -> None:
    """Starts, returns to cold and warm phases follow each other."""
    target = cold_target()
    for seconds in (3.0, 0.5, 3.0, 1.0, 2.0):
        began = restart_cold(target, seconds)
        target.play(seconds)
        since = [at for at in target.sent_at if began <= at < began + seconds]
        assert most_in_second(since) <= ALLOWED_IN_SECOND
        target.play(0.7)


def test_late_report_of_an_earlier_state_changes_nothing() -> None:
    """A report that was sent while the target was warm comes seconds late."""
    target = cold_target()
    guard = target.bench.guard
    late = report(started_at=1, sequence=target.reports, slots=target.slots)
    restart_cold(target, 3.0)
    guard.handle_heartbeat(late)
    assert guard.terms.pace_limit == COLD_RATE


def test_lower_of_the_named_limit_and_the_cold_one_holds() -> None:
    """A cold target may name a limit besides."""
    target = cold_target()
    target.rate_limit = b'2'
    target.play(1)
    restart_cold(target, 3.0)
    target.play(1)
    assert target.bench.guard.terms.pace_limit == 2
    target.rate_limit = b'40'
    target.play(1)
    assert target.bench.guard.terms.pace_limit == COLD_RATE


def test_services_without_a_cold_rate_start_at_full_load() -> None:
    """Deployments that state none are served as before."""
    target = LimitedTarget(heartbeat=HEARTBEAT_SECONDS)
    restart_cold(target, 3.0)
    assert target.bench.guard.effective_slots == target.bench.guard.limit
    assert target.bench.guard.terms.pace_limit is None


def test_placement_and_plan_learn_what_a_cold_target_takes() -> None:
    """Its slots count with what it takes now, and in full when it is warm."""
    target = cold_target()
    restart_cold(target, 3.0)
    assert target.bench.guard.load.limit <= 1
    target.play(3.5)
    assert target.bench.guard.load.limit == target.bench.guard.limit


def test_target_that_was_unreachable_counts_as_cold_until_it_reports() -> None:
    """It may have started anew under the same id."""
    target = cold_target()
    guard = target.bench.guard
    guard.pool.close()
    run_order_without_target(target)
    assert guard.terms.pace_limit == COLD_RATE
    target.report()
    assert guard.terms.pace_limit == COLD_RATE
    target.bench.clock.now += MIN_ASSUMED_SECONDS * 1.1
    target.report()
    assert guard.terms.pace_limit is None


def test_runs_wait_for_a_target_that_is_warm_in_time() -> None:
    """At the pace of a cold target the last of them would wait seconds."""
    target = cold_target()
    restart_cold(target, 0.4)
    bench = target.bench
    jobs = [
        bench.submit(run_order(f'waits-{number}', is_call=True))
        for number in range(20)
    ]
    assert all(job.state is JobState.WAITING for job in jobs)
    bench.clock.now += 0.41
    bench.guard.sweep()
    assert bench.guard.running == bench.guard.limit


def test_runs_are_refused_by_a_target_that_is_warm_too_late() -> None:
    """They are told when it is."""
    target = cold_target()
    restart_cold(target, 3.0)
    bench = target.bench
    for number in range(20):
        bench.submit(run_order(f'refused-{number}', is_call=True))
    waits = [
        outcome.retry_after
        for name, outcome in bench.outcomes.items()
        if name.startswith('refused')
    ]
    assert len(waits) > 10
    assert max(waits) <= 3.0
