"""Retries under one budget for the whole chain of a call."""

import random

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_node.call import Call
from boragetrestle_node.retry_bucket import RetryBuckets
from boragetrestle_node.retry_policy import Failure, backoff, retry_policy

_MAX_DIALS = 4


@retry_policy('chain-budget')
class ChainBudget:
    """Spend the attempts that the context of a call carries.

    A target gets the attempts that are left with its context, so nodes below
    it may spend them all. An attempt that may have made onward calls therefore
    leaves none for this node; one that did not run, or whose service has no
    dependencies, leaves all but itself. With ``n`` attempts at entry, each
    path of the chain thus sees at most ``n`` calls at its deepest service.

    Retries also draw on a bucket of the service, a share of fresh calls. A
    target that accepts no connection costs neither; the call goes to another.
    """

    def __init__(self, state: FleetState, rng: random.Random) -> None:
        self.state = state
        self.rng = rng
        self.buckets = RetryBuckets()

    def enter(self, call: Call) -> None:
        """Count a fresh call."""
        self.buckets.add(call.service)

    def next_delay(self, call: Call, failure: Failure) -> float | None:
        """Return a delay if the chain and the bucket have a retry left."""
        if not self._is_allowed(call, failure):
            return None
        delay = backoff(call, failure.tries, self.rng)
        if delay is None or not failure.was_sent:
            return delay
        if not self.buckets.take(call.service):
            return None
        call.attempts_left -= 1
        return delay

    def _is_allowed(self, call: Call, failure: Failure) -> bool:
        if not failure.was_sent:
            return failure.tries < _MAX_DIALS
        if failure.is_final or call.attempts_left <= 1:
            return False
        if not failure.may_have_run:
            return True
        return call.route.idempotent and not self._has_dependencies(call)

    def _has_dependencies(self, call: Call) -> bool:
        service = self.state.services.get(call.service)
        return service is None or bool(service.depends_on)
