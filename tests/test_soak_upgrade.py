"""A short upgrade from the build before this one."""

import sys
from pathlib import Path

import earlier_build
import pytest
from earlier_build import NoEarlierBuildError, unpack_earlier_build
from soak_upgrade import play_upgrade

SEED = 1
HOSTS = 3
GRACE_SECONDS = 3.0
SECONDS = 24.0  # nodes are replaced no later than this


@pytest.mark.processes
def test_promises_hold_while_an_upgrade_goes_forward_and_back(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Two builds serve side by side while targets drain and keys go."""
    build = tmp_path / 'build'
    try:
        commit = unpack_earlier_build(build)
    except NoEarlierBuildError as error:
        pytest.skip(f'not run: upgrade from the build before, {error}')
    verdict = play_upgrade(
        SEED,
        earlier=build,
        folder=tmp_path,
        seconds=SECONDS,
        hosts=HOSTS,
        grace_seconds=GRACE_SECONDS,
    )
    lines = [
        f'\nupgrade from {commit[:7]}: {verdict.summary}',
        *(f'not run: {line}' for line in verdict.not_run),
        *(f'fault of {commit[:7]}: {line}' for line in verdict.earlier_losses),
        '',
    ]
    with capsys.disabled():
        sys.stdout.write('\n'.join(lines))
    assert not verdict.faults


def test_checkout_without_history_names_what_is_missing(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a fault of the tree being seen in a shallow clone."""
    monkeypatch.setattr(earlier_build, 'ROOT', tmp_path)
    monkeypatch.setenv('GIT_CEILING_DIRECTORIES', str(tmp_path.parent))
    with pytest.raises(NoEarlierBuildError, match='history|install git'):
        unpack_earlier_build(tmp_path / 'build')
