"""Idle fleets on the virtual clock, for measurements of spread and control."""

import functools
import itertools
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, TypeVar

import trio
import trio.testing

from boragetrestle_kernel.change import AnyChange, SecretAdded, TextApplied
from boragetrestle_kernel.clock import VirtualWallClock
from boragetrestle_kernel.ids import Version
from boragetrestle_kernel.memory_network import MemoryNetwork
from boragetrestle_kernel.service_text import (
    Organisation,
    Route,
    Service,
    ServiceText,
)
from boragetrestle_node.node import Node
from boragetrestle_platform.change_log import ChangeLog
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.fleet import Fleet
from boragetrestle_standin.host_plan import HostPlan

_DOMAINS = (('a', 'r1'), ('b', 'r1'), ('c', 'r1'), ('d', 'r2'), ('e', 'r2'))
_SETTLE_SECONDS = 10.0
_DELAY_SECONDS = 0.001
_REGION_DELAY_SECONDS = 0.03
_TEXT = ServiceText(
    services=(Service('walks', (Route('GET', '/items/*'),)),),
    organisations=(Organisation('acacia', rate=1000, burst=1000),),
)

_Outcome = TypeVar('_Outcome')


class SpreadFleet(NamedTuple):
    """A settled fleet with its log of changes and its table."""

    fleet: Fleet
    log: ChangeLog
    table: MemoryTable

    @property
    def nodes(self) -> Sequence[Node]:
        """The nodes of the fleet."""
        return [host.node for host in self.fleet.hosts]

    async def change(self, change: AnyChange) -> Version:
        """Make a change after the newest one."""
        head = await self.log.head()
        return await self.log.append(change, expected=head.version)


def measure_fleet(
    size: int,
    measure: Callable[[SpreadFleet], Awaitable[_Outcome]],
    *,
    seed: int,
) -> _Outcome:
    """Run a measurement on a fleet of a size, over five failure domains.

    Bytes take 1 ms one way within a region and 30 ms between regions.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(
        functools.partial(_measure, size, measure, seed),
        clock=clock,
    )


async def _measure(
    size: int,
    measure: Callable[[SpreadFleet], Awaitable[_Outcome]],
    seed: int,
) -> _Outcome:
    places = itertools.islice(itertools.cycle(_DOMAINS), size)
    plans = [
        HostPlan('walks', domain=domain, region=region)
        for domain, region in places
    ]
    network = MemoryNetwork()
    table = MemoryTable()
    log = ChangeLog(table)
    first = await log.append(SecretAdded(1, b'secret'), expected=Version(0))
    await log.append(TextApplied(_TEXT), expected=first)
    fleet = Fleet(
        plans,
        network=network,
        platform=Platform(table, MemoryObjects()),
        clock=VirtualWallClock(),
        seed=seed,
    )
    region_of = {host.ip: host.plan.region for host in fleet.hosts}

    def delay_of(source: str, destination: str) -> float:
        is_near = region_of.get(source) == region_of.get(destination)
        return _DELAY_SECONDS if is_near else _REGION_DELAY_SECONDS

    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        network.faults.delay_of = delay_of
        await trio.sleep(_SETTLE_SECONDS)
        outcome = await measure(SpreadFleet(fleet, log, table))
        nursery.cancel_scope.cancel()
    return outcome
