"""Exit codes of the command ``boragetrestle``."""

from enum import IntEnum

from boragetrestle_kernel.errors import (
    ConflictError,
    DialError,
    HttpError,
    OutcomeUnknownError,
    SettingsError,
    StoreError,
    TextError,
)


class ExitCode(IntEnum):
    """The outcome of a command, for scripts.

    ``USAGE`` comes from the parser of the command line.
    """

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5
    OUTCOME_UNKNOWN = 6
    NOT_EVERYWHERE = 7


MEANINGS: dict[ExitCode, str] = {
    ExitCode.DONE: 'done',
    ExitCode.DIFFERENT: 'a difference was found, or the trial failed',
    ExitCode.USAGE: 'the command line is wrong',
    ExitCode.REFUSED: 'a text, a setting, a key or a name was refused',
    ExitCode.CONFLICT: 'another operator changed the configuration first',
    ExitCode.UNREACHABLE: 'the platform or a node gave no answer',
    ExitCode.OUTCOME_UNKNOWN: 'a write may or may not have taken effect',
    ExitCode.NOT_EVERYWHERE: 'accepted, but not acknowledged by every node yet',
}

_CODE_BY_ERROR: dict[type[BaseException], ExitCode] = {
    SettingsError: ExitCode.REFUSED,
    TextError: ExitCode.REFUSED,
    ConflictError: ExitCode.CONFLICT,
    OutcomeUnknownError: ExitCode.OUTCOME_UNKNOWN,
    StoreError: ExitCode.UNREACHABLE,
    DialError: ExitCode.UNREACHABLE,
    HttpError: ExitCode.UNREACHABLE,
    OSError: ExitCode.REFUSED,
}


def exit_code_of(error: BaseException) -> ExitCode:
    """Return the exit code of an error.

    >>> exit_code_of(OutcomeUnknownError('no answer')).name
    'OUTCOME_UNKNOWN'
    """
    known = (kind for kind in type(error).__mro__ if kind in _CODE_BY_ERROR)
    return _CODE_BY_ERROR.get(next(known, OSError), ExitCode.REFUSED)
