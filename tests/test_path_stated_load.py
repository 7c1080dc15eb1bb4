"""Loads and slowdowns that targets state in their answers."""

import pytest
from boragetrestle_deploy.settings import decode_settings
from deploy_builders import settings_document
from path_builders import GuardHarness, report, run_order

from boragetrestle_kernel.errors import SettingsError
from boragetrestle_sidecar.target_capacity import LearnsLimits


def run_once(bench: GuardHarness, load: bytes, seconds: float) -> None:
    """Let the target answer a run and state a load."""
    job = bench.submit(run_order())
    bench.clock.now += seconds
    bench.answer(job, extra=b'seal: s\r\nload: %s\r\n' % load)


def test_expected_time_follows_the_newest_slowdown() -> None:
    """A mean over 20 runs would show a phase only when it is over."""
    bench = GuardHarness(slots=10)
    run_once(bench, b'1,0,10,300', 0.3)
    assert bench.guard.load.run_seconds == pytest.approx(0.3)
    run_once(bench, b'1,0,10,100', 0.1)
    assert bench.guard.load.run_seconds == pytest.approx(0.1)


def test_slowdown_decays_without_answers() -> None:
    """A target that is avoided for its slowdown states no newer one."""
    bench = GuardHarness(slots=10)
    run_once(bench, b'1,0,10,300', 0.3)
    bench.clock.now += 0.5
    assert bench.guard.load.run_seconds == pytest.approx(0.2)
    bench.clock.now += 10
    assert bench.guard.load.run_seconds == pytest.approx(0.1)


def test_costs_by_route_stay_as_measured() -> None:
    """The admission plan counts the slots that runs hold."""
    bench = GuardHarness()
    run_once(bench, b'1,0,10,300', 0.3)
    by_route = bench.guard.meter.run_seconds_by_route
    assert by_route == {'browse': pytest.approx(0.3)}


def test_fewer_stated_slots_lower_the_limit() -> None:
    """A heartbeat may be seconds old, an answer is not."""
    bench = GuardHarness(slots=20)
    run_once(bench, b'1,0,10,100', 0.1)
    assert bench.guard.limit == 9
    run_once(bench, b'1,0,30,100', 0.1)
    assert bench.guard.limit == 19


def test_new_incarnation_states_its_own_load() -> None:
    """The slots and the slowdown of the one before do not hold for it."""
    bench = GuardHarness(slots=20)
    run_once(bench, b'1,0,10,300', 0.3)
    bench.guard.handle_heartbeat(report(started_at=2, slots=20))
    assert bench.guard.limit == 19
    assert bench.guard.capacity.slowdown.factor(bench.clock.now) == 1


@pytest.mark.parametrize(
    'load',
    [
        b'',
        b'1,0',
        b'1,0,10,0',
        b'-1,0,10,100',
        b'1,0,0,100',
        b'x',
        b'1,0,9,1e9',
    ],
)
def test_invalid_load_is_counted_and_ignored(load: bytes) -> None:
    """A garbled header must neither fail a run nor change a limit."""
    bench = GuardHarness(slots=20)
    run_once(bench, load, 0.1)
    assert bench.guard.limit == 19
    assert bench.guard.load.run_seconds == pytest.approx(0.1)
    assert 'event="stated_load_refused"' in bench.guard.telemetry.render()
    assert bench.outcomes['r-1'].status == 200


def test_setting_is_decoded() -> None:
    """A misspelt mode must not pass as the default."""
    assert decode_settings(settings_document()).learns_limits is (
        LearnsLimits.STATED
    )
    never = decode_settings(settings_document(LearnLimits='never'))
    assert never.learns_limits is LearnsLimits.NEVER
    with pytest.raises(SettingsError):
        decode_settings(settings_document(LearnLimits='sometimes'))
