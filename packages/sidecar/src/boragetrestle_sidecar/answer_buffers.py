"""Bound what answers hold of a node's memory together."""

from typing import Protocol

from boragetrestle_kernel.errors import HttpError

# Bodies of callers, copies of the answer in progress and the process itself
# take the rest.
ANSWER_MEMORY_SHARE = 0.16
SMALL_ANSWER_BYTES = 262_144  # never refused; not counted while unfinished


class AnswerHolder(Protocol):
    """A connection that holds a part of an answer."""

    def refuse(self, error: HttpError) -> None:
        """End the exchange: its answer cannot be taken."""


class AnswerWriter(Protocol):
    """A connection whose other end has not taken all answers."""

    @property
    def unsent_bytes(self) -> int:
        """How many written bytes the other end has not taken."""


class AnswerBuffers:
    """Count the bytes of answers and refuse the longest of too many.

    Servers in trouble may send bytes without end over each of their connections
    at once, and callers or links may be slow to take answers. Answers that are
    finished are kept, so large ones are refused while there is no room beside
    them.

    >>> AnswerBuffers(1_000_000).has_room(2_000_000)
    True
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held: dict[AnswerHolder, int] = {}
        self.writers: set[AnswerWriter] = set()

    @property
    def held_bytes(self) -> int:
        """How many bytes of long unfinished and of untaken answers are held."""
        return sum(self.held.values()) + self.untaken_bytes

    @property
    def untaken_bytes(self) -> int:
        """How many bytes of finished answers wait for a slow receiver."""
        return sum(writer.unsent_bytes for writer in self.writers)

    @property
    def is_scarce(self) -> bool:
        """Whether untaken answers leave little room for others."""
        return self.untaken_bytes > self.limit // 2

    def has_room(self, size: int) -> bool:
        """Return whether a finished answer may be kept until it is taken."""
        untaken = self.untaken_bytes
        is_small = size <= SMALL_ANSWER_BYTES
        return is_small or not untaken or untaken + size <= self.limit

    def record_writer(self, writer: AnswerWriter) -> None:
        """Count what a connection has not sent, as long as it has unsent bytes."""
        if writer.unsent_bytes:
            self.writers.add(writer)
        else:
            self.writers.discard(writer)

    def record(self, holder: AnswerHolder, held_bytes: int) -> None:
        """Note how much a connection holds, 0 if its answer has ended."""
        if held_bytes <= SMALL_ANSWER_BYTES:
            self.held.pop(holder, None)
            return
        self.held[holder] = held_bytes
        while self.held and self.held_bytes > self.limit:
            self._refuse_longest()

    def _refuse_longest(self) -> None:
        longest = max(self.held, key=self.held.__getitem__)
        error = HttpError(
            f'{len(self.held)} unfinished responses hold '
            f'{sum(self.held.values())} bytes, the longest '
            f'{self.held[longest]}, and receivers have not taken '
            f'{self.untaken_bytes} bytes of others',
            remedy='check the server for responses without end',
        )
        self.held.pop(longest)
        longest.refuse(error)
