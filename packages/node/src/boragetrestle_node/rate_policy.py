"""Policies that keep each organisation within its rate."""

from collections.abc import Callable
from typing import Protocol

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import OrgId

NodeCount = Callable[[], int]


class RatePolicy(Protocol):
    """Decide whether an organisation may make a call now."""

    def take(self, organisation: OrgId) -> float | None:
        """Return ``None`` if admitted, else seconds until it may try again."""


RateBuilder = Callable[[FleetState, NodeCount], RatePolicy]
RATE_POLICIES: dict[str, RateBuilder] = {}


def rate_policy(name: str) -> Callable[[RateBuilder], RateBuilder]:
    """Register a rate policy under a name."""

    def register(build: RateBuilder) -> RateBuilder:
        RATE_POLICIES[name] = build
        return build

    return register
