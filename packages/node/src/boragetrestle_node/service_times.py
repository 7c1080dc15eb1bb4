"""Service times of calls at targets, measured by route."""

from collections import deque
from typing import NamedTuple

import trio

from boragetrestle_node.call import Call

_MAX_SAMPLES = 64
_REFRESH_SAMPLES = 8
_ESTIMATE_QUANTILE = 0.5
_MAX_SAMPLE_AGE_SECONDS = 5.0
_MAX_DEADLINE_SHARE = 0.5


class _Sample(NamedTuple):
    """The service time of one call, and when it ended."""

    ended_at: float
    seconds: float


class RouteTimes:
    """Estimate the service time of a route from its newest calls.

    Old samples are dropped. Otherwise a route whose calls were all refused as
    too slow would have no new samples and stay refused.
    """

    __slots__ = ('estimate', 'samples_since_refresh', 'samples')

    def __init__(self) -> None:
        self.samples: deque[_Sample] = deque(maxlen=_MAX_SAMPLES)
        self.samples_since_refresh = 0
        self.estimate = 0.0

    def add(self, seconds: float, *, now: float) -> None:
        """Record the service time of a call that just ended."""
        self.samples.append(_Sample(now, seconds))
        self.samples_since_refresh += 1
        if (
            self.samples_since_refresh >= _REFRESH_SAMPLES
            or len(self.samples) == 1
        ):
            self._refresh_estimate(now)

    def read(self, now: float) -> float:
        """Return the estimate in seconds; 0 without recent calls."""
        if not self.samples:
            return 0
        if now - self.samples[0].ended_at > _MAX_SAMPLE_AGE_SECONDS:
            self._refresh_estimate(now)
        return self.estimate

    def _refresh_estimate(self, now: float) -> None:
        oldest = now - _MAX_SAMPLE_AGE_SECONDS
        while self.samples and self.samples[0].ended_at < oldest:
            self.samples.popleft()
        self.samples_since_refresh = 0
        ordered = sorted(sample.seconds for sample in self.samples)
        index = int(len(ordered) * _ESTIMATE_QUANTILE)
        self.estimate = ordered[index] if ordered else 0


class ServiceTimes:
    """Keep the service times of the routes that this node sent calls to."""

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str, str], RouteTimes] = {}

    def add(self, call: Call, seconds: float) -> None:
        """Record the time of a call that just ended or was abandoned."""
        key = _route_key(call)
        times = self.routes.get(key)
        if times is None:
            times = RouteTimes()
            self.routes[key] = times
        times.add(seconds, now=trio.current_time())

    def expected_seconds(self, call: Call) -> float:
        """Return the seconds that a call is expected to run.

        The result is bounded by half of the route's deadline, so that a call
        that has spent none of its deadline is always started.
        """
        times = self.routes.get(_route_key(call))
        if times is None:
            return 0
        longest = _MAX_DEADLINE_SHARE * call.route.deadline
        return min(longest, times.read(trio.current_time()))


def _route_key(call: Call) -> tuple[str, str, str]:
    return (call.service, call.route.method, call.route.path)
