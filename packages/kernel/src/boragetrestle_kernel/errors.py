"""Typed errors with stable codes.

Every error carries a code for programs, a message for people and a remedy that
names what to do next.
"""

from typing import ClassVar


class BoragetrestleError(Exception):
    """Base of all errors raised by the project.

    >>> str(SettingsError('port is 0', remedy='set a port from 1 to 65535'))
    'port is 0; set a port from 1 to 65535'
    """

    code: ClassVar[str] = 'internal-error'

    def __init__(self, message: str, *, remedy: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        """Return the message followed by its remedy."""
        if not self.remedy:
            return self.message
        return f'{self.message}; {self.remedy}'


class SettingsError(BoragetrestleError):
    """Report a settings file that is missing or has a wrong field."""

    code = 'settings-invalid'


class TextError(BoragetrestleError):
    """Report a services text (operator's configuration) with a wrong field."""

    code = 'text-invalid'


class ConflictError(BoragetrestleError):
    """Report that another operator changed the configuration first."""

    code = 'configuration-conflict'


class StoreError(BoragetrestleError):
    """Report that the platform gave no usable answer."""

    code = 'store-unavailable'


class OutcomeUnknownError(StoreError):
    """Report a write that may or may not have taken effect."""

    code = 'store-outcome-unknown'


class HistoryGoneError(StoreError):
    """Report that the store no longer has the changes that were asked for."""

    code = 'store-history-gone'


class ContextError(BoragetrestleError):
    """Report a call context header that is malformed, forged or expired."""

    code = 'context-invalid'


class WireError(BoragetrestleError):
    """Report a message between nodes that does not match its schema."""

    code = 'wire-invalid'


class HttpError(BoragetrestleError):
    """Report a failed HTTP exchange with a server."""

    code = 'http-broken'


class IncompleteAnswerError(HttpError):
    """Report a response that ended before its declared end."""

    code = 'answer-incomplete'


class UnframedAnswerError(IncompleteAnswerError):
    """Report a response whose end looks the same as a lost connection."""

    code = 'answer-unframed'


class CallerError(BoragetrestleError):
    """Report a caller that breaks HTTP or a limit of its connection."""

    code = 'caller-broken'


class CallerGoneError(CallerError):
    """Report a caller that closed its connection during an exchange."""

    code = 'caller-gone'


class MalformedRequestError(CallerError):
    """Report a request that is not valid HTTP/1.1 or is ambiguous."""

    code = 'request-malformed'


class BodyTooLargeError(CallerError):
    """Report a request body over the limit."""

    code = 'request-too-large'


class HeadTooLargeError(CallerError):
    """Report a request head over the limit."""

    code = 'head-too-large'


class SlowCallerError(CallerError):
    """Report a caller that sends or reads bytes too slowly."""

    code = 'caller-slow'


class DialError(BoragetrestleError):
    """Report an address to which no connection could be opened."""

    code = 'dial-failed'
