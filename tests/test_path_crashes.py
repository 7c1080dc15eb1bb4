"""Requests that are lost when their target crashes."""

from path_builders import (
    GuardHarness,
    LineLog,
    ManualClock,
    report,
    run_order,
)
from path_standins import Host, MemoryStore

from boragetrestle_sidecar.suspects import (
    CRASHES_TO_BLOCK,
    Suspects,
    fingerprint_of,
)


def lose(bench: GuardHarness, runs: int) -> None:
    """Let the target crash while it runs equal requests of many callers."""
    jobs = [bench.submit(run_order(f'r-{number}')) for number in range(runs)]
    for job in jobs:
        job.connection.connection_lost(ConnectionResetError())


# Guards against requests that are blocked because many callers sent them.
def test_equal_requests_lost_in_one_crash_count_once() -> None:
    """Only requests that were there at several crashes cause them."""
    node = Host(1, MemoryStore(), LineLog()).node
    bench = GuardHarness(slots=9, connections=9)
    bench.guard.crash_watch.on_crash = node.guard.crash_watch.on_crash
    found = fingerprint_of(run_order())
    for start in range(2, 2 + CRASHES_TO_BLOCK):
        assert not node.suspects.is_blocked(found)
        lose(bench, 5)
        bench.guard.handle_heartbeat(report(started_at=start, slots=9))
        bench.connect(9)
    assert node.suspects.is_blocked(found)


# Guards against requests that crash a target each time that they are let through.
def test_block_lasts_twice_as_long_after_each_further_crash() -> None:
    """A day of an hour has few of them."""
    clock = ManualClock()
    suspects = Suspects(clock=clock)
    for _ in range(CRASHES_TO_BLOCK):
        suspects.record_crash('killer', is_own=False)
    let_through = 0
    for _ in range(3600):
        clock.now += 1
        if not suspects.is_blocked('killer'):
            let_through += 1
            suspects.record_crash('killer', is_own=False)
    assert let_through == 5


def test_lost_runs_are_kept_without_their_bodies() -> None:
    """A target may be lost with uploads at work."""
    bench = GuardHarness(slots=9, connections=9)
    order = run_order()._replace(body=b'x' * 1_000_000)
    job = bench.submit(order)
    job.connection.connection_lost(ConnectionResetError())
    ((_lost_at, kept),) = bench.guard.crash_watch.losses
    assert kept == fingerprint_of(order)
