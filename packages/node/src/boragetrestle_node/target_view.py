"""What one node has seen of one target."""

import math
from dataclasses import dataclass

RAMP_SECONDS = 10.0

_LATENCY_DECAY_SECONDS = 5.0
_ANSWERS_DECAY_SECONDS = 10.0
_LEAST_RAMP = 0.1
_LEAST_REFUSED_SECONDS = 0.01
_MOST_REFUSED_SECONDS = 1.0


@dataclass(slots=True)
class TargetView:
    """Calls, latency and errors of a target, on the clock of trio.

    ``latency`` is a peak-sensitive moving average in seconds: it takes over a
    greater sample at once and decays towards smaller ones. ``answers`` and
    ``errors`` are decayed counts. ``ramp_from`` is when the target got its
    first call of this node, new or after an ejection.
    """

    ramp_from: float
    in_flight: int = 0
    peak_in_flight: float = 0
    latency: float = 0
    updated_at: float = 0
    answers: float = 0
    errors: float = 0
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: float = 0
    is_ejected: bool = False
    is_on_trial: bool = False

    def add_latency(self, seconds: float, *, now: float) -> None:
        """Take a sample of the time to the head of an answer."""
        if seconds >= self.latency:
            self.latency = seconds
            return
        passed = max(now - self.updated_at, seconds)
        weight = 1 - math.exp(-passed / _LATENCY_DECAY_SECONDS)
        self.latency += weight * (seconds - self.latency)

    def add_refusal(self, *, now: float) -> None:
        """Double the latency, so that a busy target gets fewer calls."""
        doubled = max(_LEAST_REFUSED_SECONDS, self.latency_at(now) * 2)
        self.latency = min(_MOST_REFUSED_SECONDS, doubled)
        self.updated_at = now

    def count(self, *, is_error: bool, now: float) -> None:
        """Count an answer, or an attempt that got none."""
        passed = now - self.updated_at
        kept = math.exp(-passed / _ANSWERS_DECAY_SECONDS)
        self.answers = self.answers * kept + 1
        self.errors = self.errors * kept + int(is_error)
        self.peak_in_flight *= kept
        self.updated_at = now

    def latency_at(self, now: float) -> float:
        """Return the latency, decayed while no call has shown it anew."""
        idle = max(0.0, now - self.updated_at)
        return self.latency * math.exp(-idle / _LATENCY_DECAY_SECONDS)

    def peak_at(self, now: float) -> float:
        """Return the recent peak of calls in flight, decayed until now."""
        idle = max(0.0, now - self.updated_at)
        return self.peak_in_flight * math.exp(-idle / _ANSWERS_DECAY_SECONDS)

    @property
    def error_share(self) -> float:
        """The recent share of attempts that failed."""
        return self.errors / self.answers if self.answers else 0

    def ramp(self, now: float) -> float:
        """Return the share of its fair load that the target takes now.

        >>> TargetView(ramp_from=5.0).ramp(10.0)
        0.5
        """
        share = (now - self.ramp_from) / RAMP_SECONDS
        return min(1.0, max(_LEAST_RAMP, share))
