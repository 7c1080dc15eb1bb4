"""Refuse keyed calls at a node that cannot know of withdrawn keys."""

from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
)
from boragetrestle_node.call import Call
from boragetrestle_node.freshness_exchange import FreshnessExchange

_RETRY_SECONDS = 1.0


class FreshnessGate:
    """Pass calls while the configuration in force is known to be the newest.

    The check runs on the monotonic clock at each call, so that a process that
    was paused refuses its next keyed call unless it has heard anew. Onward
    calls pass, since their key was checked when the chain was entered.
    """

    def __init__(self, exchange: FreshnessExchange) -> None:
        self.exchange = exchange

    def check(self, call: Call) -> None:
        """Raise ``RefusedError`` if a withdrawn key could be unknown here."""
        if call.route.open or call.depth or self.exchange.may_go_on():
            return
        raise RefusedError(
            Refusal(
                RefusalCode.NODE_ISOLATED,
                detail='this node has lost contact with store and fleet',
                retry_after=_RETRY_SECONDS,
            ),
        )
