"""Faults of a running fleet, each with a way to end it."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from builders import RunningFleet

from boragetrestle_standin.fleet import FleetHost

SLOW_STORE_SECONDS = 0.6
DELAY_SECONDS = 0.1

_CUT_DOMAIN = 'a'


class FaultyRun(NamedTuple):
    """A running fleet with its random choices and the hosts at fault."""

    run: RunningFleet
    rng: random.Random
    touched: set[str]

    @property
    def hosts(self) -> list[FleetHost]:
        """The hosts of the fleet."""
        return self.run.fleet.hosts

    def pick(self) -> FleetHost:
        """Choose a host that no other fault has touched."""
        free = [host for host in self.hosts if host.ip not in self.touched]
        host = self.rng.choice(free)
        self.touched.add(host.ip)
        return host

    def untouched(self) -> list[FleetHost]:
        """Return the hosts that no fault concerns."""
        return [host for host in self.hosts if host.ip not in self.touched]


End = Callable[[], Awaitable[None]]
Fault = Callable[[FaultyRun], Awaitable[End]]
FAULTS: dict[str, Fault] = {}


def _fault(begin: Fault) -> Fault:
    FAULTS[begin.__name__.removeprefix('_')] = begin
    return begin


@_fault
async def _crash(faulty: FaultyRun) -> End:
    host = faulty.pick()
    host.crash()

    async def end() -> None:
        await faulty.run.fleet.restart(
            host,
            faulty.run.nursery,
            peers=tuple(
                other.node.settings.listen.peers
                for other in faulty.hosts
                if other.plan.domain == host.plan.domain and other != host
            ),
        )

    return end


@_fault
async def _pause(faulty: FaultyRun) -> End:
    """Stall a host as a paused process: no bytes, no answers of the store."""
    ip = faulty.pick().ip
    faulty.run.network.faults.freeze(ip)
    faulty.run.host_stores[ip].is_down = True

    async def end() -> None:
        faulty.run.host_stores[ip].is_down = False
        faulty.run.network.faults.thaw(ip)

    return end


@_fault
async def _cut_domain(faulty: FaultyRun) -> End:
    """Cut a failure domain off from the others and from the store."""
    faults = faulty.run.network.faults
    inside = [host.ip for host in faulty.hosts if _is_cut(host)]
    outside = [host.ip for host in faulty.hosts if not _is_cut(host)]
    faulty.touched.update(inside)
    faults.partition(inside, outside)
    for ip in inside:
        faulty.run.host_stores[ip].is_down = True

    async def end() -> None:
        faults.heal()
        for ip in inside:
            faulty.run.host_stores[ip].is_down = False

    return end


@_fault
async def _lose_one_way(faulty: FaultyRun) -> End:
    """Lose all bytes that one host sends."""
    ip = faulty.pick().ip
    faulty.run.network.faults.lose(lambda source, _destination: source == ip)

    async def end() -> None:
        faulty.run.network.faults.heal()

    return end


@_fault
async def _delay(faulty: FaultyRun) -> End:
    faults = faulty.run.network.faults
    before = faults.delay_of
    faults.delay_of = lambda _source, _destination: DELAY_SECONDS

    async def end() -> None:
        faults.delay_of = before

    return end


@_fault
async def _store_down(faulty: FaultyRun) -> End:
    faulty.run.store.is_down = True

    async def end() -> None:
        faulty.run.store.is_down = False

    return end


@_fault
async def _store_slow(faulty: FaultyRun) -> End:
    faulty.run.store.delay = SLOW_STORE_SECONDS

    async def end() -> None:
        faulty.run.store.delay = 0

    return end


@_fault
async def _lose_answers(faulty: FaultyRun) -> End:
    faulty.run.store.lost_answers = 2
    faulty.run.store.lost_reads = 2

    async def end() -> None:
        faulty.run.store.lost_answers = 0
        faulty.run.store.lost_reads = 0

    return end


def _is_cut(host: FleetHost) -> bool:
    return host.plan.domain == _CUT_DOMAIN
