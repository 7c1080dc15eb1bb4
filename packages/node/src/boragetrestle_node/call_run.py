"""The attempts of one call at one node."""

from dataclasses import dataclass, field

from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RunState
from boragetrestle_node.attempt import Attempt, Forwarded
from boragetrestle_node.call import Call
from boragetrestle_node.replayable_body import ReplayableBody
from boragetrestle_node.retry_policy import Failure

_REFUSALS: dict[Attempt, Refusal] = {
    Attempt.NOT_SENT: Refusal(RefusalCode.NO_TARGET, retry_after=1),
    Attempt.NO_ANSWER: Refusal(RefusalCode.TARGET_FAILED, RunState.UNKNOWN),
    Attempt.CUT: Refusal(RefusalCode.ANSWER_LOST, RunState.UNKNOWN),
    Attempt.TAKEN_BACK: Refusal(RefusalCode.TARGET_FAILED, RunState.UNKNOWN),
}
_ELSEWHERE = frozenset((
    RefusalCode.OVERLOADED,
    RefusalCode.NO_TARGET,
    RefusalCode.NODE_DRAINING,
    RefusalCode.NODE_ISOLATED,
    RefusalCode.TARGET_FAILED,
    RefusalCode.TOO_MANY_CONNECTIONS,
))


@dataclass(slots=True)
class CallRun:
    """A call with its request, and what was tried for it so far.

    ``delay`` is in seconds and set if an answer was taken back for a retry.
    """

    call: Call
    request: HttpRequest
    connection: HttpServerConnection
    body: ReplayableBody
    tried: set[TargetId] = field(default_factory=set)
    delay: float | None = None

    def failure(self, forwarded: Forwarded) -> Failure:
        """Return how an attempt failed."""
        return Failure(
            was_sent=forwarded.attempt is not Attempt.NOT_SENT,
            may_have_run=forwarded.may_have_run,
            tries=len(self.tried),
            status=forwarded.status,
        )

    def can_repeat(self, forwarded: Forwarded) -> bool:
        """Return whether another target could do better."""
        if self.connection.has_started_answer or not self.body.is_replayable:
            return False
        refusal = forwarded.refusal
        return refusal is None or refusal.code in _ELSEWHERE


def refusal_of(call: Call, forwarded: Forwarded) -> Refusal:
    """Return the refusal of a failed call, true about all its attempts."""
    refusal = forwarded.refusal or _REFUSALS[forwarded.attempt]
    if call.is_sent:
        return refusal._replace(run_state=RunState.UNKNOWN)
    return refusal
