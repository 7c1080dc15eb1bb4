"""Checks that a call passes before it is sent on."""

from typing import Protocol

from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
)
from boragetrestle_node.call import Call
from boragetrestle_node.rate_policy import RatePolicy


class Gate(Protocol):
    """Let a call pass or refuse it, without waiting."""

    def check(self, call: Call) -> None:
        """Raise ``RefusedError`` unless the call may go on."""


class RateGate:
    """Keep organisations within their rate at the entry of a chain."""

    def __init__(self, rates: RatePolicy) -> None:
        self.rates = rates

    def check(self, call: Call) -> None:
        """Raise ``RefusedError`` if the organisation is over its rate."""
        if call.depth or call.route.open:
            return
        wait = self.rates.take(call.organisation)
        if wait is not None:
            raise RefusedError(
                Refusal(RefusalCode.RATE_EXCEEDED, retry_after=wait),
            )
