"""A short run of the soak, and its own checks."""

from pathlib import Path

import pytest
from soak_run import play_seed
from soak_witness import MEMORY_MB, Cut, Limit, Run, Sent, Witness

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


def sent(status: int = 200, **changes: object) -> Sent:
    """Return an unsafe request."""
    known: dict[str, object] = {
        'request_id': 'r',
        'node': 1,
        'sent_at': 50.0,
        'may_repeat': False,
        'key': 'key-1',
        'status': status,
        'is_whole': True,
    }
    return Sent(**{**known, **changes})  # type: ignore[arg-type]


def run(**changes: object) -> Run:
    """Return a run of it."""
    known: dict[str, object] = {
        'request_id': 'r',
        'target': 't',
        'started_at': 50.0,
        'organisation': 'org-1',
        'had_key': False,
    }
    return Run(**{**known, **changes})  # type: ignore[arg-type]


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
