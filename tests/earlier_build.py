"""The sources of an earlier commit, for fleets of two builds."""

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path

from soak_host import ROOT

SOURCES = ('packages', 'platform')


class NoEarlierBuildError(Exception):
    """The checkout has no commit before the last change of the sources."""


def unpack_earlier_build(folder: Path) -> str:
    """Unpack the sources as they were before their last change.

    Returns the commit. Raises ``NoEarlierBuildError`` without git, without a
    repository and in a shallow clone.
    """
    changed = _git('log', '-1', '--format=%H', '--', *SOURCES).decode().strip()
    commit = _git('rev-parse', '--verify', f'{changed}~1').decode().strip()
    archive = BytesIO(_git('archive', '--format=tar', commit, *SOURCES))
    with tarfile.open(fileobj=archive) as sources:
        sources.extractall(folder, filter='data')
    return commit


def _git(*arguments: str) -> bytes:
    try:
        done = subprocess.run(
            ('git', '-C', str(ROOT), *arguments),
            check=True,
            capture_output=True,
        )
    except FileNotFoundError as error:
        raise NoEarlierBuildError('git is missing; install git') from error
    except subprocess.CalledProcessError as error:
        reason = error.stderr.decode().strip().splitlines()[-1:]
        raise NoEarlierBuildError(
            f'git {arguments[0]}: {"".join(reason)}; fetch the whole history'
        ) from error
    return done.stdout
