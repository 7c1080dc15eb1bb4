"""Checks that a call passes before it is sent on."""

from typing import Protocol

from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
)
from boragetrestle_node.call import Call
from boragetrestle_node.rate_policy import RatePolicy

WAIT_SECONDS = 0.25


class Gate(Protocol):
    """Let a call pass or refuse it, without waiting."""

    def check(self, call: Call) -> None:
        """Raise ``RefusedError`` unless the call may go on."""


class RateStage:
    """Keep organisations within their rate at the entry of a chain."""

    def __init__(self, policy: RatePolicy) -> None:
        self.policy = policy

    async def admit(self, call: Call) -> None:
        """Raise ``RefusedError`` if the organisation is over its rate.

        A call waits only where the tokens of its organisation are elsewhere.
        """
        if call.depth or call.route.open:
            return
        wait = self.policy.take(call.organisation)
        if wait is None:
            return
        timeout = min(WAIT_SECONDS, call.remaining / 2)
        wait = await self.policy.acquire(call.organisation, timeout=timeout)
        if wait is not None:
            raise RefusedError(
                Refusal(RefusalCode.RATE_EXCEEDED, retry_after=wait),
            )
