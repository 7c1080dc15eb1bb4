"""Slot time (seconds for which a slot was in use) spent on each call."""

import base64
from collections import Counter, defaultdict
from collections.abc import Collection

import msgspec

from boragetrestle_kernel.context import CallContext


class WorkLog:
    """Add up slot time by call, over all targets of a fleet."""

    def __init__(self) -> None:
        self.seconds: defaultdict[str, float] = defaultdict(float)
        self.attempts: Counter[tuple[str, str]] = Counter()

    def add(self, context: bytes, service: str, seconds: float) -> None:
        """Add slot time of the call that a context header names."""
        call_id = read_call_id(context)
        self.seconds[call_id] += seconds
        self.attempts[(service, call_id)] += 1

    def wasted_share(self, answered: Collection[str]) -> float:
        """Return the share of slot time spent on calls without an answer."""
        total = sum(self.seconds.values())
        useful = sum(self.seconds.get(call_id, 0) for call_id in answered)
        return (total - useful) / total if total else 0

    def attempts_at(self, service: str) -> int:
        """Return how many calls the targets of a service worked on."""
        return sum(
            count
            for (name, _), count in self.attempts.items()
            if name == service
        )


def read_call_id(context: bytes) -> str:
    """Return the call id of a context header without verifying it."""
    body = context.split(b'.')[1]
    raw = base64.urlsafe_b64decode(body)
    return msgspec.json.decode(raw, type=CallContext).call_id
