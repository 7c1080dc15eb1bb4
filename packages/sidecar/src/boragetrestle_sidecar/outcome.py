"""Outcomes of runs, as a guard reports them to an entry.

A run is one request that is sent to a target, or waits there for a slot.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple

from boragetrestle_sidecar.peer_numbers import Amount, Count
from boragetrestle_sidecar.target_notice import TargetNotice


class OutcomeKind(IntEnum):
    """Whether the target ran the request.

    ``NOT_SENT``: no byte reached a target. ``REJECTED``: a target received the
    request and stated that it did not run it. ``UNKNOWN``: it may have run.
    """

    ANSWERED = 0
    NOT_SENT = 1
    REJECTED = 2
    UNKNOWN = 3


class Reason(StrEnum):
    """Why a request was not answered by a target."""

    NONE = ''
    QUEUE_FULL = 'queue-full'
    EXPIRED = 'expired-in-queue'
    DRAINING = 'target-draining'
    NO_TARGET = 'no-target'
    EVACUATED = 'domain-evacuated'
    REGION = 'region-not-allowed'
    UNREACHABLE = 'target-unreachable'
    TARGET_LIMIT = 'target-limit'
    TARGET_REJECTED = 'target-rejected'
    CONNECTION_LOST = 'connection-lost'
    ANSWER_GARBLED = 'answer-garbled'
    NO_ROOM = 'no-room-for-answer'
    LINK_LOST = 'link-lost'
    TIME_LIMIT = 'time-limit'
    CALLER_GONE = 'caller-gone'
    STOPPING = 'node-stopping'
    NO_CONFIGURATION = 'no-configuration'
    NO_ROUTE = 'no-route'
    KEY_UNKNOWN = 'key-unknown'
    RATE_EXCEEDED = 'rate-exceeded'
    SHORTAGE = 'shortage'
    SUSPECT = 'crashes-targets'
    MALFORMED = 'request-malformed'
    TOO_LARGE = 'request-too-large'
    HEAD_TOO_LARGE = 'head-too-large'
    BODY_STALLED = 'body-stalled'
    MEMORY_FULL = 'memory-full'
    INTERNAL = 'internal-failure'  # of entries only: earlier builds lack it


class GuardLoad(NamedTuple):
    """The load of a guard at the time it sent an outcome.

    ``limit`` is how many runs fit at once, a fraction for a target that names a
    low rate limit; ``run_seconds`` is the mean time that a run holds a slot, and
    ``failing_share`` the share of runs that the target rejected or failed.
    ``is_open`` tells whether the guard accepts runs, ``notice`` what entries
    have to remember of its target, and ``cold_seconds`` how long the target is
    known to stay cold.
    """

    running: Count = 0
    waiting: Count = 0
    limit: Amount = 0
    run_seconds: Amount = 0.0
    failing_share: Amount = 0.0
    is_open: bool = True
    notice: TargetNotice | None = None
    cold_seconds: Amount = 0.0


class Outcome(NamedTuple):
    """The end of one run; ``head`` and ``body`` are those of an answer.

    ``head`` holds the header lines that the caller gets. ``retry_after`` is
    the seconds until the guard expects to accept a run.
    """

    kind: OutcomeKind
    reason: Reason = Reason.NONE
    status: int = 0
    head: bytes = b''
    body: bytes = b''
    retry_after: Amount = 0.0
    load: GuardLoad = GuardLoad()
