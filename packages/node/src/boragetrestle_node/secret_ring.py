"""The context secrets that a node signs with and accepts."""

from typing import NamedTuple

import trio

from boragetrestle_kernel.context import ContextSigner
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import Version

MATURE_SECONDS = 5.0

_SKEW_SECONDS = 10.0


class Retired(NamedTuple):
    """A retired secret, accepted until a time on the monotonic clock."""

    secret: bytes
    until: float


class SecretRing:
    """Follow the secrets in force, so that a rotation refuses no call.

    A new secret signs once every live node accepts it, which takes a few
    seconds. A retired one is accepted until every context that it signed has
    expired, which is the longest deadline of the text.
    """

    def __init__(self, state: FleetState) -> None:
        self.state = state
        self.version = Version(0)
        self.known_at: dict[int, float] = {}
        self.secrets: dict[int, bytes] = {}
        self.retired: dict[int, Retired] = {}
        self.signer = ContextSigner({})
        self.renew_at = 0.0

    def current(self) -> ContextSigner:
        """Return a signer with the secrets that count now."""
        now = trio.current_time()
        if self.version != self.state.version or now >= self.renew_at:
            self.version = self.state.version
            self._follow(now)
            self.signer = self._build(now)
        return self.signer

    def _follow(self, now: float) -> None:
        fresh = dict(self.state.secrets)
        until = now + self._longest_deadline()
        for number in self.secrets.keys() - fresh.keys():
            self.retired[number] = Retired(self.secrets[number], until)
            self.known_at.pop(number)
        for number in fresh:
            self.known_at.setdefault(number, now)
        self.secrets = fresh
        self.retired = {
            number: retired
            for number, retired in self.retired.items()
            if retired.until > now
        }

    def _build(self, now: float) -> ContextSigner:
        ready = {num: at + MATURE_SECONDS for num, at in self.known_at.items()}
        mature = [number for number, at in ready.items() if at <= now]
        signing_number = max(mature) if mature else min(self.secrets, default=0)
        times = [at for at in ready.values() if at > now]
        times.extend(retired.until for retired in self.retired.values())
        self.renew_at = min(times, default=float('inf'))
        accepted = {num: old.secret for num, old in self.retired.items()}
        return ContextSigner(
            accepted | self.secrets, signing_number=signing_number
        )

    def _longest_deadline(self) -> float:
        deadlines = [
            route.deadline
            for service in self.state.text.services
            for route in service.routes
        ]
        return max(deadlines, default=0.0) + _SKEW_SECONDS
