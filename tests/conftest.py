"""Settings of all tests, and the tests that are known to fail."""

import os
from pathlib import Path

import hypothesis
import pytest
import trio
from path_builders import ManualClock

from boragetrestle_sidecar import caller_connection, request_reader
from boragetrestle_standin.scheduling import seed_scheduling

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('ci')

_SEED = int(os.environ.get('BORAGETRESTLE_TEST_SEED', '0'))
_ROOT = Path(__file__).parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_TEST_FIELD = 'test: '


@pytest.fixture(autouse=True)
def _repeatable_schedule(monkeypatch):
    """Let trio run ready tasks in the same order in each run."""
    scheduler = trio._core._run
    monkeypatch.setattr(scheduler, '_ALLOW_DETERMINISTIC_SCHEDULING', True)
    scheduler._r.seed(0)


def _known_red() -> list[str]:
    """Return the test ids that ``KNOWN-RED.txt`` lists."""
    if not _KNOWN_RED.exists():
        return []
    return [
        line.removeprefix(_TEST_FIELD).strip()
        for line in _KNOWN_RED.read_text().splitlines()
        if line.startswith(_TEST_FIELD)
    ]


@pytest.fixture(autouse=True)
def _same_schedule_each_run():
    """Make the order of tasks the same on every run."""
    seed_scheduling(_SEED)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    """Replace the clock of callers' connections, and of their requests.

    One of the two on real time would make a test depend on how long the host
    has been up.
    """
    found = ManualClock()
    for module in (caller_connection, request_reader):
        monkeypatch.setattr(module, 'steady_now', found)
    return found


def pytest_collection_modifyitems(items):
    """Let the run pass over listed tests that fail; they still run."""
    listed = _known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(terminalreporter):
    """Print the list of known failures."""
    for test in _known_red():
        terminalreporter.write_line(f'known red: {test}')
