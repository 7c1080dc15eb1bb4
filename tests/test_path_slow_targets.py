"""Targets that become too slow to end any run within its time."""

from http import HTTPStatus

from path_builders import GuardHarness, report, run_order
from test_path_policies import guard, shares_of

TIME_LIMIT = 1.0
USUAL_SECONDS = 0.1


class SlowingTarget:
    """A guard whose target ends runs in a tenth of a second, then in none."""

    def __init__(self) -> None:
        self.bench = GuardHarness(slots=40, connections=40)
        for number in range(20):
            job = self.bench.submit(run_order(f'quick-{number}'))
            self.bench.clock.now += USUAL_SECONDS
            self.bench.answer(job)

    def time_out_runs(self, count: int) -> None:
        """Let the target state of some runs that their time is up."""
        jobs = [
            self.bench.submit(run_order(f'slow-{number}'))
            for number in range(count)
        ]
        self.bench.clock.now += TIME_LIMIT
        for job in jobs:
            self.bench.answer(job, status=HTTPStatus.GATEWAY_TIMEOUT)

    def lose_runs(self, count: int) -> None:
        """Let the guard give runs up that the target does not answer."""
        for number in range(count):
            self.bench.submit(run_order(f'lost-{number}'))
        self.bench.clock.now += TIME_LIMIT * 1.1
        self.bench.guard.sweep()

    def share_of_runs(self) -> float:
        """Return the part of new runs that it gets beside a sound target."""
        load = self.bench.guard.load
        slow = guard('slow', limit=40, run_seconds=load.run_seconds)
        slow.failing_share = load.failing_share
        sound = guard('sound', limit=40, run_seconds=USUAL_SECONDS * 1.5)
        return shares_of([slow, sound])['slow'] / 2000


def test_target_whose_runs_time_out_gets_few() -> None:
    """One at a twelfth of its speed kept the run time of before."""
    target = SlowingTarget()
    assert target.share_of_runs() > 0.9
    target.time_out_runs(5)
    assert target.share_of_runs() < 0.1


def test_runs_that_are_given_up_count_as_slow() -> None:
    """The target does not even say that the time is up."""
    target = SlowingTarget()
    target.lose_runs(5)
    assert target.share_of_runs() < 0.1


def test_target_that_is_quick_again_gets_runs_again() -> None:
    """Those that are sent to it for trial show it."""
    target = SlowingTarget()
    target.time_out_runs(5)
    for number in range(80):
        target.bench.connect(1)
        target.bench.guard.handle_heartbeat(
            report(slots=40, sequence=number + 2)
        )
        job = target.bench.submit(run_order(f'again-{number}'))
        target.bench.clock.now += USUAL_SECONDS
        target.bench.answer(job)
    assert target.share_of_runs() > 0.9
