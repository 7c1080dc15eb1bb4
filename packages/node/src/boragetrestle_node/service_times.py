"""Measured times of calls at targets, by route."""

from collections import deque
from typing import NamedTuple

import trio

from boragetrestle_node.call import Call

_SAMPLES = 64
_REFRESH_SAMPLES = 8
_QUANTILE = 0.5
_LONGEST_AGE_SECONDS = 5.0
_LARGEST_SHARE_OF_DEADLINE = 0.5


class _Sample(NamedTuple):
    """The seconds of one call, and when it ended."""

    ended_at: float
    seconds: float


class RouteTimes:
    """Estimate the time of a route from its newest calls.

    Samples age out, so that calls are tried again after a slow spell in which
    all of them were refused.
    """

    __slots__ = ('estimate', 'fresh', 'samples')

    def __init__(self) -> None:
        self.samples: deque[_Sample] = deque(maxlen=_SAMPLES)
        self.fresh = 0
        self.estimate = 0.0

    def add(self, seconds: float, *, now: float) -> None:
        """Take the time of a call that ended now."""
        self.samples.append(_Sample(now, seconds))
        self.fresh += 1
        if self.fresh >= _REFRESH_SAMPLES or len(self.samples) == 1:
            self._refresh(now)

    def read(self, now: float) -> float:
        """Return the estimate in seconds, 0 without recent calls."""
        if not self.samples:
            return 0
        if now - self.samples[0].ended_at > _LONGEST_AGE_SECONDS:
            self._refresh(now)
        return self.estimate

    def _refresh(self, now: float) -> None:
        oldest = now - _LONGEST_AGE_SECONDS
        while self.samples and self.samples[0].ended_at < oldest:
            self.samples.popleft()
        self.fresh = 0
        ordered = sorted(sample.seconds for sample in self.samples)
        place = int(len(ordered) * _QUANTILE)
        self.estimate = ordered[place] if ordered else 0


class ServiceTimes:
    """Hold the times of the routes that this node has sent calls to."""

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str, str], RouteTimes] = {}

    def add(self, call: Call, seconds: float) -> None:
        """Take the time of a call that ended now, or was given up."""
        key = _key(call)
        times = self.routes.get(key)
        if times is None:
            times = RouteTimes()
            self.routes[key] = times
        times.add(seconds, now=trio.current_time())

    def expect(self, call: Call) -> float:
        """Return the seconds that a call is expected to run.

        At most half of the deadline of the route is expected, so that a fresh
        call always starts.
        """
        times = self.routes.get(_key(call))
        if times is None:
            return 0
        most = _LARGEST_SHARE_OF_DEADLINE * call.route.deadline
        return min(most, times.read(trio.current_time()))


def _key(call: Call) -> tuple[str, str, str]:
    return (call.service, call.route.method, call.route.path)
