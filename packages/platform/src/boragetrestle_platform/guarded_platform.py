"""Clients of the platform with timeouts, retries and circuit breakers."""

import random
from collections.abc import Callable
from typing import NamedTuple

from boragetrestle_platform.circuit_breaker import CircuitBreaker
from boragetrestle_platform.guarded_objects import GuardedObjects
from boragetrestle_platform.guarded_table import GuardedTable
from boragetrestle_platform.platform import Platform
from boragetrestle_platform.store_budget import StoreBudget
from boragetrestle_platform.store_guard import StoreGuard


class GuardedPlatform(NamedTuple):
    """The table service and the object store, each with its own breaker."""

    table: GuardedTable
    objects: GuardedObjects


def guard_platform(
    platform: Platform,
    *,
    node_count: Callable[[], int],
    timeout: float,
    rng: random.Random,
) -> GuardedPlatform:
    """Wrap the clients of a platform; both share one budget of operations.

    ``node_count`` returns how many nodes share the platform. ``timeout`` bounds
    a read with all its attempts, or one write, in seconds.
    """
    budget = StoreBudget(node_count)

    def guard() -> StoreGuard:
        return StoreGuard(
            breaker=CircuitBreaker(rng),
            budget=budget,
            timeout=timeout,
            rng=rng,
        )

    return GuardedPlatform(
        GuardedTable(platform.table, guard()),
        GuardedObjects(platform.objects, guard()),
    )
