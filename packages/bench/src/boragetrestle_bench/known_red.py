"""Bounds that are known to be broken, from ``KNOWN-RED.txt``."""

from collections.abc import Collection
from pathlib import Path

_PREFIX = 'test: bench '


def load_known_red(path: Path) -> Collection[str]:
    """Return ``BENCHMARK: FIGURE`` for each listed bound."""
    if not path.exists():
        return frozenset()
    return frozenset(
        line.removeprefix(_PREFIX).strip()
        for line in path.read_text().splitlines()
        if line.startswith(_PREFIX)
    )
