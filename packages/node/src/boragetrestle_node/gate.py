"""Checks that a call has to pass before it is forwarded."""

from typing import Protocol

from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
)
from boragetrestle_node.call import Call
from boragetrestle_node.rate_policy import RatePolicy

MAX_TOKEN_WAIT_SECONDS = 0.25


class Gate(Protocol):
    """Admit or refuse a call without waiting."""

    def check(self, call: Call) -> None:
        """Raise ``RefusedError`` if the call is refused."""


class RateStage:
    """Enforce the rate limits of organisations on calls from outside."""

    def __init__(self, policy: RatePolicy) -> None:
        self.policy = policy

    async def admit(self, call: Call) -> None:
        """Raise ``RefusedError`` if the organisation is over its rate.

        A call waits, for a bounded time, only if this node has no token for its
        organisation and other nodes may hold some.
        """
        if call.depth or call.route.open:
            return
        wait = self.policy.take(call.organisation)
        if wait is None:
            return
        timeout = min(MAX_TOKEN_WAIT_SECONDS, call.remaining / 2)
        wait = await self.policy.wait_for_token(
            call.organisation, timeout=timeout
        )
        if wait is not None:
            raise RefusedError(
                Refusal(RefusalCode.RATE_EXCEEDED, retry_after=wait),
            )
