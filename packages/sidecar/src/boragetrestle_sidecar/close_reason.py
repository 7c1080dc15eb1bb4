"""Why a node closes the connection of a caller."""

from enum import StrEnum


class CloseReason(StrEnum):
    """What ended a connection.

    ``LAST_ANSWER``: the answer said that the connection closes. ``BAD_INPUT``:
    the bytes were no request, or over a limit. ``STALLED``: a request stopped
    midway for the idle limit, or a body while others waited for its memory.
    ``MEMORY_FULL``: a body waited for memory for too long. ``IDLE``: nothing
    came for the idle limit. ``UNTAKEN``: the caller took nothing of its answers
    while others waited for their memory. ``FAILURE``: a callback raised an
    exception. ``STOP``: the node ends.
    """

    LAST_ANSWER = 'last-answer'
    BAD_INPUT = 'bad-input'
    STALLED = 'body-stalled'
    MEMORY_FULL = 'memory-full'
    IDLE = 'idle'
    UNTAKEN = 'answer-untaken'
    FAILURE = 'failure'
    STOP = 'stop'


# Closes that an answer has announced. Requests behind such an answer are sent
# again by their callers, so they may be read and dropped.
ANNOUNCED_CLOSES = frozenset((
    CloseReason.LAST_ANSWER,
    CloseReason.BAD_INPUT,
    CloseReason.STALLED,
    CloseReason.MEMORY_FULL,
))
