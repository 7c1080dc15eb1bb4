"""Queue disciplines for calls that wait for a slot."""

from collections.abc import Callable
from typing import Protocol

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.ids import OrgId
from boragetrestle_node.waiter import Waiter

WeightOf = Callable[[OrgId], float]


class QueueOrder(Protocol):
    """Hold waiting calls and choose which runs next and which is shed.

    ``pop`` may also shed calls, with ``Waiter.decide``.
    """

    def __len__(self) -> int:
        """Return how many calls wait."""

    def max_wait_share(self, call_class: CallClass) -> float:
        """Return the share of its spare time that a call may wait."""

    def push(self, waiter: Waiter) -> None:
        """Add a call."""

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the call that runs next."""

    def shed(self) -> Waiter | None:
        """Remove and return the call to shed next, or ``None``."""

    def remove(self, waiter: Waiter) -> None:
        """Remove a call that no longer waits."""


QueueBuilder = Callable[[WeightOf], QueueOrder]
QUEUE_ORDERS: dict[str, QueueBuilder] = {}


def queue_order(name: str) -> Callable[[QueueBuilder], QueueBuilder]:
    """Register a queue order under a name."""

    def register(build: QueueBuilder) -> QueueBuilder:
        QUEUE_ORDERS[name] = build
        return build

    return register
