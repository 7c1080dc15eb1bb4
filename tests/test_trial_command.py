"""The trial, run from the command line."""

import pytest

from boragetrestle.exit_code import ExitCode
from boragetrestle.main import run_command

pytestmark = pytest.mark.loopback


def test_trial_runs_from_the_command_line() -> None:
    """The command builds its fleet inside trio and meets all expectations."""
    assert run_command(['trial']) == ExitCode.DONE
