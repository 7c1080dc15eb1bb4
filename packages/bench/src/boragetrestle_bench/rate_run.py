"""Demand of one organisation on the rate policies of a fleet."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio
import trio.testing

from boragetrestle_kernel.change import TextApplied
from boragetrestle_kernel.clock import VirtualWallClock
from boragetrestle_kernel.ids import OrgId, Version
from boragetrestle_kernel.memory_network import MemoryNetwork
from boragetrestle_kernel.service_text import (
    Organisation,
    Route,
    Service,
    ServiceText,
)
from boragetrestle_node.gate import MAX_TOKEN_WAIT_SECONDS
from boragetrestle_node.policies import Policies
from boragetrestle_platform.change_log import ChangeLog
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.fleet import Fleet, FleetHost
from boragetrestle_standin.host_plan import HostPlan

SETTLE_SECONDS = 10.0
NETWORK_DELAY_SECONDS = 0.001

_DOMAINS = 'abc'
_ORGANISATION = OrgId('acacia')

NodeChooser = Callable[[float, random.Random], int]


class RateOutcome(NamedTuple):
    """What a policy did with calls; times are in virtual seconds.

    ``share_messages`` counts the messages that all nodes sent while the demand
    lasted.
    """

    admitted: Sequence[float]
    waits: Sequence[float]
    refused: int
    messages: int

    @property
    def refused_share(self) -> float:
        """The share of calls that were refused."""
        total = len(self.admitted) + self.refused
        return self.refused / total if total else 0


class RateRun:
    """Run Poisson demand on nodes that a function chooses.

    The demand is held within the rate and burst by a bucket of its own, unless
    it is a ``flood``: each refusal of a demand that is held is wrongful.
    """

    def __init__(
        self,
        organisation: Organisation,
        *,
        nodes: int,
        policies: Policies,
        seed: int,
    ) -> None:
        self.organisation = organisation
        self.nodes = nodes
        self.policies = policies
        self.seed = seed
        self.rng = random.Random(seed)
        self.admitted: list[float] = []
        self.waits: list[float] = []
        self.refused = 0

    def run(
        self,
        choose: NodeChooser,
        *,
        load: float,
        seconds: float,
    ) -> RateOutcome:
        """Run demand of ``load`` times the rate for a time in seconds."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(self._run, choose, load, seconds, clock=clock)

    async def _run(
        self,
        choose: NodeChooser,
        load: float,
        seconds: float,
    ) -> RateOutcome:
        platform = Platform(MemoryTable(), MemoryObjects())
        await ChangeLog(platform.table).append(
            TextApplied(_text(self.organisation)),
            expected=Version(0),
        )
        fleet = Fleet(
            [
                HostPlan('walks', domain=_DOMAINS[place % len(_DOMAINS)])
                for place in range(self.nodes)
            ],
            network=MemoryNetwork(delay=NETWORK_DELAY_SECONDS),
            platform=platform,
            clock=VirtualWallClock(),
            seed=self.seed,
            policies=self.policies,
        )
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(SETTLE_SECONDS)
            sent = _count_messages(fleet)
            async with trio.open_nursery() as calls:
                await self._demand(fleet, choose, load, seconds, calls)
            messages = _count_messages(fleet) - sent
            nursery.cancel_scope.cancel()
        return RateOutcome(
            sorted(self.admitted),
            sorted(self.waits),
            self.refused,
            messages,
        )

    async def _demand(
        self,
        fleet: Fleet,
        choose: NodeChooser,
        load: float,
        seconds: float,
        calls: trio.Nursery,
    ) -> None:
        start = trio.current_time()
        due = start
        level = self.organisation.burst
        while due < start + seconds:
            gap = self.rng.expovariate(self.organisation.rate * load)
            level += gap * self.organisation.rate
            if load <= 1 and level < 1:
                gap += (1 - level) / self.organisation.rate
                level = 1
            level = min(level, self.organisation.burst) - 1
            due += gap
            await trio.sleep_until(due)
            host = fleet.hosts[choose(due - start, self.rng)]
            calls.start_soon(self._call, host)

    async def _call(self, host: FleetHost) -> None:
        policy = host.node.entry.rates.policy
        started_at = trio.current_time()
        wait = policy.take(_ORGANISATION)
        if wait is not None:
            wait = await policy.wait_for_token(
                _ORGANISATION, timeout=MAX_TOKEN_WAIT_SECONDS
            )
        if wait is not None:
            self.refused += 1
            return
        self.admitted.append(trio.current_time())
        self.waits.append(trio.current_time() - started_at)


def overshoot(
    admitted: Sequence[float],
    organisation: Organisation,
) -> float:
    """Return the most calls by which any window goes over rate and burst.

    ``admitted`` are times in seconds, in order. A bucket that starts full and
    is drawn by each call falls below zero by exactly that much.

    >>> organisation = Organisation('acacia', rate=1, burst=2)
    >>> overshoot([0, 0, 1], organisation), overshoot([0, 0, 0.5], organisation)
    (0.0, 0.5)
    """
    level, last, least = organisation.burst, 0.0, 0.0
    for at in admitted:
        level += (at - last) * organisation.rate
        level = min(organisation.burst, level) - 1
        last = at
        least = min(least, level)
    return max(0.0, -least)


def _text(organisation: Organisation) -> ServiceText:
    route = Route('GET', '/items/*', idempotent=True)
    service = Service('walks', routes=(route,))
    return ServiceText(services=(service,), organisations=(organisation,))


def _count_messages(fleet: Fleet) -> int:
    return sum(host.node.links.sent_messages for host in fleet.hosts)
