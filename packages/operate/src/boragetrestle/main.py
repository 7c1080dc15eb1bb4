"""The command ``boragetrestle``."""

import sys
from importlib import import_module
from typing import Any

import defopt

from boragetrestle.commands import COMMANDS
from boragetrestle.exit_code import exit_code_of
from boragetrestle.output import print_error
from boragetrestle_kernel.errors import BoragetrestleError

_COMMAND_MODULES = (
    'command_text',
    'command_key',
    'command_secret',
    'command_fleet',
    'command_route',
    'command_timeline',
    'command_trial',
)


def run_command(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    for module in _COMMAND_MODULES:
        import_module(f'boragetrestle.{module}')
    try:
        returned: Any = defopt.run(COMMANDS, argv=arguments)
    except (BoragetrestleError, OSError) as error:
        print_error(str(error))
        return exit_code_of(error)
    return int(returned or 0)


def main() -> None:
    """Run the command line; see ``ExitCode`` for how it exits."""
    sys.exit(run_command(sys.argv[1:]))
