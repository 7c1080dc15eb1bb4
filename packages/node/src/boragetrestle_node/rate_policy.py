"""Interface and registry of policies that enforce organisations' rates."""

import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import NodeId, OrgId
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.members import Members
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_platform.guarded_table import GuardedTable
from boragetrestle_platform.write_combiner import WriteCombiner


class RatePolicy(Protocol):
    """Decide whether an organisation may make a call now."""

    def take(self, organisation: OrgId) -> float | None:
        """Return ``None`` if admitted, else seconds until it may try again."""

    async def wait_for_token(
        self,
        organisation: OrgId,
        *,
        timeout: float,
    ) -> float | None:
        """Wait for a token that ``take`` did not find.

        Returns ``None`` if admitted, else seconds until it may try again;
        waits for ``timeout`` seconds at most.
        """

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the policy's background work until cancelled."""

    async def stop(self) -> None:
        """Give back what this node holds and admit no further call."""


class RateParts(NamedTuple):
    """Hold what a policy uses of its node, which is at ``address``."""

    node: NodeId
    address: str
    state: FleetState
    members: Members
    links: PeerLinks
    table: GuardedTable
    combiner: WriteCombiner
    timeline: Timeline
    rng: random.Random


RateBuilder = Callable[[RateParts], RatePolicy]
RATE_POLICIES: dict[str, RateBuilder] = {}


def rate_policy(name: str) -> Callable[[RateBuilder], RateBuilder]:
    """Register a rate policy under a name."""

    def register(build: RateBuilder) -> RateBuilder:
        RATE_POLICIES[name] = build
        return build

    return register
