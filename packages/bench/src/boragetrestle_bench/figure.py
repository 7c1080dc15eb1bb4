"""One figure of a benchmark with its bound."""

from enum import Enum

import msgspec


class Limit(Enum):
    """How a figure compares with its bound."""

    AT_LEAST = '>='
    AT_MOST = '<='


class Figure(msgspec.Struct, frozen=True):
    """A figure; ``source`` is the stated target that its bound comes from.

    A figure without a bound is for information.
    """

    name: str
    amount: float
    bound: float | None = None
    limit: Limit = Limit.AT_LEAST
    source: str = ''

    @property
    def is_within(self) -> bool:
        """Whether the figure keeps its bound."""
        if self.bound is None:
            return True
        if self.limit is Limit.AT_LEAST:
            return self.amount >= self.bound
        return self.amount <= self.bound
