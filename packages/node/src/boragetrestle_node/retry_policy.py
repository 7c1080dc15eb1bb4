"""Policies that decide whether a call is attempted again."""

import random
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Protocol

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_node.call import Call

LOCAL_RETRIES = 3

_BACKOFF_SECONDS = 0.01
_MAX_BACKOFF_SECONDS = 0.25
_FAILED_STATUSES = frozenset((
    HTTPStatus.BAD_GATEWAY.value,
    HTTPStatus.SERVICE_UNAVAILABLE.value,
    HTTPStatus.GATEWAY_TIMEOUT.value,
))


class Failure(NamedTuple):
    """A failed attempt.

    ``was_sent`` tells that a connection was there. ``tries`` counts the
    attempts of this node for the call. ``status`` is that of an answer of the
    target, which was not passed on yet, or 0.
    """

    was_sent: bool
    may_have_run: bool
    tries: int
    status: int = 0

    @property
    def is_final(self) -> bool:
        """Whether the target answered with anything but a gateway error."""
        return bool(self.status) and self.status not in _FAILED_STATUSES


class RetryPolicy(Protocol):
    """Decide on retries of the calls of one node."""

    def enter(self, call: Call) -> None:
        """Count a fresh call."""

    def next_delay(self, call: Call, failure: Failure) -> float | None:
        """Return seconds until the next attempt, ``None`` for no more.

        The attempt is counted as spent.
        """


RetryBuilder = Callable[[FleetState, random.Random], RetryPolicy]
RETRY_POLICIES: dict[str, RetryBuilder] = {}


def retry_policy(name: str) -> Callable[[RetryBuilder], RetryBuilder]:
    """Register a retry policy under a name."""

    def register(build: RetryBuilder) -> RetryBuilder:
        RETRY_POLICIES[name] = build
        return build

    return register


def backoff(call: Call, tries: int, rng: random.Random) -> float | None:
    """Return a jittered delay in seconds, ``None`` past the deadline."""
    longest = min(_MAX_BACKOFF_SECONDS, _BACKOFF_SECONDS * 2**tries)
    delay = rng.uniform(0, longest)
    return delay if delay < call.remaining else None


@retry_policy('none')
class NoRetries:
    """Attempt each call once."""

    def __init__(self, _state: FleetState, _rng: random.Random) -> None:
        """Take what other policies need."""

    def enter(self, _call: Call) -> None:
        """Count nothing."""

    def next_delay(self, _call: Call, _failure: Failure) -> None:
        """Return ``None``."""


@retry_policy('local')
class LocalRetries:
    """Attempt each call up to three more times at each step of the chain.

    This is the common policy of clients, kept as a baseline: it multiplies
    along a chain.
    """

    def __init__(self, _state: FleetState, rng: random.Random) -> None:
        self.rng = rng

    def enter(self, _call: Call) -> None:
        """Count nothing."""

    def next_delay(self, call: Call, failure: Failure) -> float | None:
        """Return a delay while this node has retries for the call."""
        if failure.is_final or failure.tries > LOCAL_RETRIES:
            return None
        if failure.may_have_run and not call.route.idempotent:
            return None
        return backoff(call, failure.tries, self.rng)
