"""Bound what unfinished answers hold of a node's memory together."""

from typing import Protocol

from boragetrestle_kernel.errors import HttpError

# A fraction of the memory of the smallest hosts, and enough for hundreds of
# answers of the usual sizes.
MAX_HELD_BYTES = 48_000_000
SMALL_ANSWER_BYTES = 262_144  # not counted, to save time


class AnswerHolder(Protocol):
    """A connection that holds a part of an answer."""

    def refuse(self, error: HttpError) -> None:
        """End the exchange: its answer cannot be taken."""


class AnswerBuffers:
    """Count the bytes of long answers and refuse the longest of too many.

    Servers in trouble may send bytes without end over each of their connections
    at once.
    """

    def __init__(self) -> None:
        self.held: dict[AnswerHolder, int] = {}

    @property
    def held_bytes(self) -> int:
        """How many bytes of long unfinished answers are held."""
        return sum(self.held.values())

    def record(self, holder: AnswerHolder, held_bytes: int) -> None:
        """Note how much a connection holds, 0 if its answer has ended."""
        if held_bytes <= SMALL_ANSWER_BYTES:
            self.held.pop(holder, None)
            return
        self.held[holder] = held_bytes
        total = self.held_bytes
        if total > MAX_HELD_BYTES:
            longest = max(self.held, key=self.held.__getitem__)
            error = HttpError(
                f'{len(self.held)} unfinished responses hold {total} bytes, '
                f'the longest {self.held[longest]}',
                remedy='check the server for responses without end',
            )
            self.held.pop(longest)
            longest.refuse(error)
