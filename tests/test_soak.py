"""A short run of the soak, and its own checks."""

from pathlib import Path

import pytest
from soak_builders import run, sent
from soak_run import play_seed
from soak_witness import (
    MEMORY_MB,
    Build,
    Cut,
    Limit,
    Rate,
    Run,
    Sent,
    Witness,
)

SECONDS = 5.0
SEEDS = (1, 2)  # seeds that ever failed are added, with their cause


@pytest.mark.processes
@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_under_faults_in_series(
    seed: int,
    tmp_path: Path,
) -> None:
    """Nodes, targets and the store are harmed from outside."""
    assert not play_seed(seed, seconds=SECONDS, folder=tmp_path)


@pytest.mark.parametrize(
    ('asked', 'runs', 'found'),
    [
        (sent(), [run(), run()], 'ran 2 times'),
        (sent(503), [run()], 'but it ran'),
        (sent(is_whole=False), [run()], 'wrong body'),
        (sent(), [run(had_key=True)], 'key reached'),
        (sent(), [run(organisation='org-2')], "ran for 'org-2'"),
        (sent(), [run(target='left', started_at=60.0)], 'after a drain'),
        (sent(401), [], 'for a valid key'),
        (sent(key='gone', sent_at=60.0), [run()], 'withdrawn key'),
        (sent(502), [], 'in the calm'),
    ],
)
def test_soak_sees_broken_promises(
    asked: Sent,
    runs: list[Run],
    found: str,
) -> None:
    """A check that never fails would prove nothing."""
    witness = Witness()
    witness.owners = {'key-1': 'org-1', 'gone': 'org-1'}
    witness.drained_at['left'] = 50.0
    witness.withdrawn_at['gone'] = 50.0
    witness.sent = [asked, sent(request_id='calm', status=200)]
    witness.runs = runs
    faults = witness.faults(calm_since=40.0)
    assert any(found in line for line in faults)


@pytest.mark.parametrize('is_disturbed', [False, True])
def test_soak_sees_limits_and_leaves_that_are_not_kept(
    is_disturbed: bool,
) -> None:
    """A disturbance of the node that was told excuses it."""
    witness = Witness()
    witness.owners = {'key-1': 'org-1'}
    witness.limits = [Limit('t', 1.0, 40.0)]
    witness.told_limit[1, 't'] = 40.0
    witness.told_leaving[1, 'left'] = 40.0
    if is_disturbed:
        witness.disturbed[1].append(42.0)
    names = [f'r{number}' for number in range(12)]
    witness.sent = [sent(request_id=name) for name in names]
    witness.sent.append(sent(request_id='late'))
    witness.runs = [run(request_id=name) for name in names]
    witness.runs.append(run(request_id='late', target='left'))
    found = '\n'.join(witness.faults(calm_since=40.0))
    assert ('12 runs in 4 s' in found) is not is_disturbed
    assert ('which left' in found) is not is_disturbed


@pytest.mark.parametrize(
    ('waited', 'ran', 'harmed', 'is_found'),
    [
        (0.1, True, 0, True),
        (0.1, False, 0, False),
        (0.5, False, 0, True),
        (0.5, True, 1, False),
        (0.5, True, 2, False),
        (0.5, True, 3, True),
    ],
)
def test_soak_sees_requests_that_planned_work_cuts(
    waited: float,
    ran: bool,
    harmed: int,
    is_found: bool,
) -> None:
    """Only harm to the nodes that a request passed excuses it."""
    witness = Witness()
    witness.nodes = {'t': 2, 'other': 3}
    witness.runs = [run()] if ran else []
    witness.disturbed[1].append(49.9)
    witness.planned.add(49.9)
    witness.disturbed[harmed].append(49.8)
    witness.cuts = [Cut('r', 1, 50.0, 50.0 + waited)]
    faults = '\n'.join(witness.faults(calm_since=60.0))
    assert ('cut by node 1' in faults) is is_found


@pytest.mark.parametrize('build', list(Build))
def test_cuts_are_counted_against_the_build_that_made_them(
    build: Build,
) -> None:
    """Guards against an old build's cuts hiding those of the current one."""
    witness = Witness()
    witness.nodes = {'t': 2}
    witness.started[1] = [(0.0, Build.CURRENT), (40.0, build)]
    witness.started[2] = [(0.0, Build.EARLIER)]
    witness.runs = [run()]
    witness.cuts = [Cut('r', 1, 50.0, 50.5)]
    found = witness.cuts_by(build)
    assert len(found) == 1
    assert f'by node 1 ({build.value}), run beside node 2 (earlier' in found[0]
    assert found[0] in witness.faults(calm_since=60.0)
    assert not witness.cuts_by(*set(Build) - {build})


@pytest.mark.parametrize(
    ('sent_at', 'answered_at', 'is_found'),
    [
        (49.0, 50.5, True),
        (49.0, 51.5, False),  # its time limit was over
        (51.0, 52.4, True),
        (51.0, 52.6, False),  # in the last sixth of the grace period
        (53.1, 55.0, False),
    ],
)
def test_soak_sees_requests_that_stops_give_up(
    sent_at: float,
    answered_at: float,
    is_found: bool,
) -> None:
    """Guards against a stop that ends early what a target works at."""
    witness = Witness()
    witness.disturbed[1] = [50.0]
    witness.sent = [sent(502, sent_at=sent_at, answered_at=answered_at)]
    assert not witness.given_up_by(Build.CURRENT, grace_seconds=3.0)
    witness.runs = [run()]
    found = witness.given_up_by(Build.CURRENT, grace_seconds=3.0)
    assert bool(found) is is_found


def test_runs_between_builds_are_counted_by_direction() -> None:
    """Guards against an upgrade in which the builds never meet."""
    witness = Witness()
    witness.nodes = {'t': 2}
    witness.started[1] = [(0.0, Build.EARLIER)]
    witness.started[2] = [(0.0, Build.EARLIER), (49.0, Build.CURRENT)]
    witness.sent = [sent()]
    witness.runs = [run(), run(started_at=48.0)]
    assert witness.run_between(Build.EARLIER, Build.CURRENT) == 1
    assert not witness.run_between(Build.CURRENT, Build.EARLIER)


@pytest.mark.parametrize(('count', 'is_over'), [(66, False), (67, True)])
def test_soak_sees_organisations_over_their_rate(
    count: int,
    is_over: bool,
) -> None:
    """Guards against rates that two builds grant twice."""
    witness = Witness()
    witness.owners = {'key-1': 'org-1'}
    witness.rates = {'key-1': Rate(per_second=10, burst=10)}
    names = [f'r{number}' for number in range(count)]
    witness.sent = [sent(request_id=name) for name in names]
    witness.runs = [run(request_id=name) for name in names + names[:5]]
    found = '\n'.join(witness.faults(calm_since=40.0))
    assert (f'{count} requests ran in 5 s' in found) is is_over


def test_soak_sees_processes_that_outgrow_their_memory() -> None:
    """A platform would have ended them."""
    witness = Witness()
    witness.peaks_mb[1] = MEMORY_MB + 1
    assert 'node 1: 301 MB' in '\n'.join(witness.faults(calm_since=60.0))


def test_kept_promises_are_no_faults() -> None:
    """Nor may it see what is not there."""
    witness = Witness()
    witness.owners = {'key-1': 'org-1'}
    witness.sent = [sent()]
    witness.runs = [run()]
    assert not witness.faults(calm_since=40.0)
