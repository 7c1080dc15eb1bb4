"""What became of one call of a benchmark."""

from http import HTTPStatus
from typing import NamedTuple

from boragetrestle_bench.demand import Demand


class Outcome(NamedTuple):
    """One call with its answer; times are in virtual seconds.

    ``code`` is the refusal code, empty for a target's answer.
    """

    demand: Demand
    sent_at: float
    ended_at: float
    status: int
    code: str
    call_id: str

    @property
    def is_good(self) -> bool:
        """Whether a target answered the call with success."""
        return self.status == HTTPStatus.OK and not self.code
