"""How one attempt to forward a call ended."""

from enum import Enum


class Attempt(Enum):
    """How one attempt to forward a call ended.

    Only ``NOT_SENT`` says that no byte left this node.
    """

    ANSWERED = 'answered'
    NOT_SENT = 'not-sent'
    NO_ANSWER = 'no-answer'
    CUT = 'cut'
