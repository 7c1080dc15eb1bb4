"""The registry of operators' commands and its decorator."""

from collections.abc import Callable
from typing import Any, TypeVar

_Command = TypeVar('_Command', bound=Callable[..., Any])

COMMANDS: dict[str, Any] = {}


def command(*names: str) -> Callable[[_Command], _Command]:
    """Register a function as a command or, by two names, a subcommand.

    The function returns its exit code, or ``None`` for 0.
    """

    def register(function: _Command) -> _Command:
        *groups, name = names
        commands = COMMANDS
        for group in groups:
            commands = commands.setdefault(group, {})
        commands[name] = function
        return function

    return register
