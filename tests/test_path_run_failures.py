"""A fault of the node in the handling of one run ends that run alone."""

import asyncio
from typing import Any

import pytest
from path_builders import GuardHarness, run_order

from boragetrestle_sidecar.outcome import OutcomeKind
from boragetrestle_sidecar.server_connection import Loss

# What a guard does with an answer beside passing it on.
LEARNING_STEPS = (
    'pool.release',
    'silence_detector.record_answer',
    'terms.record_answer',
    'capacity.record_answer',
    'meter.record_result',
    'meter.record_run_time',
    'attribution.end_run',
)


def fail(*_arguments: object, **_options: object) -> None:
    """Fail as a faulty step does."""
    raise RuntimeError('fault')


def break_step(bench: GuardHarness, step: str) -> None:
    """Let a step of the guard raise an exception."""
    owner, _, name = step.partition('.')
    setattr(getattr(bench.guard, owner), name, fail)


def waiting_run() -> tuple[GuardHarness, Any]:
    """Return a guard with a run at its target and another that waits."""
    bench = GuardHarness(slots=1)
    running = bench.submit(run_order('r-1'))
    bench.submit(run_order('r-2', time_left=9.0, goal_left=9.0))
    return bench, running


# Guards against whole answers that are lost to a fault in what is learned from
# them, with their callers waiting until the time limit.
@pytest.mark.parametrize('step', LEARNING_STEPS)
def test_answer_is_passed_on_although_nothing_can_be_learned(step: str) -> None:
    """The next run gets the slot."""
    bench, running = waiting_run()
    break_step(bench, step)
    bench.answer(running)
    assert bench.outcomes['r-1'].kind is OutcomeKind.ANSWERED
    assert bench.guard.running == 1
    assert 'r-2' not in bench.outcomes
    assert 'run-failed' in bench.log.kinds()


# Guards against entries that wait until the time limit for an outcome.
def test_outcome_is_reported_although_the_load_cannot_be_measured() -> None:
    """The entry goes on with the load that it knows."""
    bench, running = waiting_run()
    break_step(bench, 'meter.failing_share')
    bench.answer(running)
    assert bench.outcomes['r-1'].kind is OutcomeKind.ANSWERED
    assert not bench.outcomes['r-1'].load.limit


# Guards against runs that are forgotten when the end of their exchange cannot
# be processed.
@pytest.mark.parametrize('loss', Loss)
def test_lost_run_ends_although_its_loss_cannot_be_recorded(loss: Loss) -> None:
    """The outcome is unknown, and the slot is free."""
    bench, running = waiting_run()
    break_step(bench, 'meter.record_result')
    running.connection.listener.lost(loss)
    bench.guard.sweep()
    assert bench.outcomes['r-1'].kind is OutcomeKind.UNKNOWN
    assert bench.guard.running == 1
    assert running not in bench.guard.jobs


# Guards against slots that stay in use for runs that could not be sent.
def test_run_that_cannot_be_sent_ends_at_once() -> None:
    """Nothing tells whether its bytes have left."""
    bench, running = waiting_run()
    break_step(bench, 'attribution.start_run')
    bench.answer(running)
    assert bench.outcomes['r-2'].kind is OutcomeKind.UNKNOWN
    assert not bench.guard.running
    assert not bench.guard.jobs


# Guards against runs that are forgotten when a connection to the target cannot
# be opened for another reason than the network.
def test_run_that_cannot_connect_ends_at_once() -> None:
    """No byte of it was sent."""

    async def run() -> GuardHarness:
        bench = GuardHarness(connections=0)
        break_step(bench, 'pool.open')
        bench.submit(run_order())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return bench

    bench = asyncio.run(run())
    assert bench.outcomes['r-1'].kind is OutcomeKind.NOT_SENT
    assert not bench.guard.running


# Guards against a sweep that ends its task, and with it the node.
def test_run_past_its_deadline_ends_although_it_cannot_be_recorded() -> None:
    """The others are still swept."""
    bench, running = waiting_run()
    break_step(bench, 'meter.record_timeout')
    bench.clock.now += 2
    bench.guard.sweep()
    assert bench.outcomes['r-1'].kind is OutcomeKind.UNKNOWN
    assert running not in bench.guard.jobs
    assert bench.guard.running == 1


# Guards against runs of a lost link that go on since the cancellation of one of
# them fails.
def test_cancellation_that_fails_ends_its_run() -> None:
    """The link cancels the others after it."""
    bench, running = waiting_run()
    break_step(bench, 'attribution.end_run')
    bench.guard.cancel(running)
    assert bench.outcomes['r-1'].kind is OutcomeKind.UNKNOWN
    assert running not in bench.guard.jobs


# Guards against runs that get no outcome since the reply to another one failed.
@pytest.mark.parametrize('step', ['stop', 'sweep'])
def test_reply_that_fails_leaves_the_other_runs_their_outcomes(
    step: str,
) -> None:
    """Several runs end in one step of the guard."""
    bench, _running = waiting_run()
    bench.guard.queue.pop_all()
    bench.guard.submit(run_order('r-3', time_left=0.5), fail)
    bench.submit(run_order('r-4', time_left=0.5))
    bench.clock.now += 0.5
    getattr(bench.guard, step)()
    assert bench.outcomes['r-4'].kind is OutcomeKind.NOT_SENT
    assert 'run-failed' in bench.log.kinds()
