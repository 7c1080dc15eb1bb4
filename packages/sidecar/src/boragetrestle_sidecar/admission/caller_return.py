"""Choose when a refused caller should come back.

Callers wait as long as they are told, but at most for a part of the time that
they have left, and come back a few times only. One that returns before there is
room is lost; if all return at the moment at which there is room again, they
exceed it once more.
"""

import random
from typing import NamedTuple

# Callers wait at most this share of their remaining time.
MAX_SHARE_OF_TIME = 0.33
MIN_SPREAD_SHARE = 0.3  # of the longest wait; avoids simultaneous returns
MIN_SECONDS = 0.05  # a few times the mean run time
MAX_SECONDS = 1.2  # a few times as long as usual demand swings
# Callers that are too late for their goal return over this time.
LATE_SPREAD_SECONDS = 1.5


class CallerTime(NamedTuple):
    """The seconds that a caller has left.

    ``until_last_start`` are those in which a run has to start that is to end
    within the response-time goal.
    """

    left: float
    until_last_start: float


def return_within_demand_swings(
    caller: CallerTime,
    chance: random.Random,
) -> float:
    """Return the seconds until a retry, where demand swings around capacity."""
    longest = min(MAX_SECONDS, caller.left * MAX_SHARE_OF_TIME)
    return max(MIN_SECONDS, chance.uniform(MIN_SPREAD_SHARE, 1.0) * longest)


def return_when_capacity_is_back(
    caller: CallerTime,
    expected_in: float,
    chance: random.Random,
) -> float:
    """Return the seconds until a retry once there is capacity again.

    ``expected_in`` is the time until then. Callers that can still meet their
    goal return first; the others are spread over the time after it.

    >>> caller = CallerTime(left=5.0, until_last_start=1.0)
    >>> 0.5 <= return_when_capacity_is_back(caller, 0.5, random.Random(1)) <= 1.0
    True
    """
    latest = caller.until_last_start
    if latest < expected_in:
        latest = expected_in + LATE_SPREAD_SECONDS
        longest_wait = caller.left * MAX_SHARE_OF_TIME
        if longest_wait > expected_in:
            latest = min(latest, longest_wait)
    return chance.uniform(expected_in, latest)
