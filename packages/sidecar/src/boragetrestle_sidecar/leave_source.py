"""How a guard got to know that its target leaves."""

from enum import Enum


class LeaveSource(Enum):
    """The target's call or answer, or another node that remembers it."""

    CALL = 'call'
    ANSWER = 'answer'
    PEER = 'peer'
