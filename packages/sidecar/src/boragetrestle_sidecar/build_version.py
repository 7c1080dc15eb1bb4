"""The version of the build that runs, as logs and metrics state it."""

import sys
import tomllib
from functools import cache
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import xxhash

_UNKNOWN_VERSION = '0'
_DIGEST_LENGTH = 8
_PACKAGES = 'boragetrestle_'


@cache
def build_version() -> str:
    """Return the package's version with a digest of the source files.

    Two builds may have one version, so the digest tells them apart. It covers
    the packages that the process has imported; other files don't count.

    >>> public, _, digest = build_version().partition('+')
    >>> len(digest)
    8
    """
    project = Path(__file__).parents[2] / 'pyproject.toml'
    return f'{package_version(project)}+{_source_digest()}'


def package_version(
    project: Path,
    distribution: str = 'boragetrestle-sidecar',
) -> str:
    """Return the version that the project file of a source checkout states.

    Without such a file it is that of the installed distribution, or 0 if the
    sources were only copied.

    >>> package_version(Path('not-there'), 'not-installed')
    '0'
    """
    try:
        found = tomllib.loads(project.read_text())
        return str(found['project']['version'])
    except (OSError, ValueError, KeyError):
        return _installed_version(distribution)


def _installed_version(distribution: str) -> str:
    try:
        return version(distribution)
    except PackageNotFoundError:
        return _UNKNOWN_VERSION


def _source_digest() -> str:
    digest = xxhash.xxh64()
    for name in sorted(sys.modules):
        if name.startswith(_PACKAGES) and '.' not in name:
            for folder in sys.modules[name].__path__:
                _add_sources(Path(folder), digest)
    return str(digest.hexdigest())[:_DIGEST_LENGTH]


def _add_sources(folder: Path, digest: xxhash.xxh64) -> None:
    for source in sorted(folder.rglob('*.py')):
        digest.update(source.relative_to(folder).as_posix().encode())
        digest.update(source.read_bytes())
