"""Invariants on real processes over loopback, with real signals.

Every call has a path of its own. Targets print each path before they run it, so
that runs are counted although a target is killed.
"""

import signal
from collections import Counter
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import pytest
import trio

from boragetrestle_bench.process_fleet import HostProcesses, ProcessFleet
from boragetrestle_bench.process_load import CallRecord, ProcessLoad
from boragetrestle_bench.process_setup import configure_processes
from boragetrestle_kernel.service_text import (
    Organisation,
    Route,
    Service,
    ServiceText,
)
from boragetrestle_standin.faults import StoreFaults
from boragetrestle_standin.host_plan import HostPlan
from boragetrestle_standin.run_line import RunLine, parse_run_lines

pytestmark = pytest.mark.processes

_RATE = 40.0
_BURST = 40.0
_SETTLE_SECONDS = 5.0
_DOMAINS = ('a', 'b', 'c')
_PLANS = [HostPlan('walks', domain=name, work=0.05) for name in _DOMAINS]
_TEXT = ServiceText(
    services=(
        Service(
            'walks',
            routes=(
                Route('GET', '/items/*', idempotent=True),
                Route('POST', '/orders/*'),
            ),
        ),
    ),
    organisations=(Organisation('acacia', rate=_RATE, burst=_BURST),),
)

Disturbance = Callable[[ProcessFleet], Awaitable[None]]


class Observed(NamedTuple):
    """What callers saw and what targets ran."""

    records: list[CallRecord]
    runs: list[RunLine]


@asynccontextmanager
async def _process_fleet() -> AsyncGenerator[ProcessFleet, None]:
    async with ProcessFleet() as fleet:
        await fleet.start(_PLANS)
        await configure_processes(fleet, _TEXT)
        await trio.sleep(_SETTLE_SECONDS)
        yield fleet


def _read_all_runs(fleet: ProcessFleet) -> list[RunLine]:
    return [
        line
        for host in fleet.hosts
        for line in parse_run_lines(fleet.log_of(f'target-{host.place}'))
    ]


async def _observe(
    disturb: Disturbance,
    *,
    seconds: float,
    method: str = 'POST',
    rate: float = 20,
    spared: frozenset[int] = frozenset(),
) -> Observed:
    """Run load beside a disturbance; callers avoid the spared places."""
    path = {'POST': '/walks/orders', 'GET': '/walks/items'}[method]
    async with _process_fleet() as fleet:
        load = ProcessLoad(fleet, seed=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(disturb, fleet)
            await load.run(
                method=method,
                prefix=path,
                rate=rate,
                seconds=seconds,
                entries=lambda: [
                    host.addresses.calls
                    for host in fleet.hosts
                    if host.place not in spared
                ],
            )
        return Observed(load.records, _read_all_runs(fleet))


def _check_invariants(observed: Observed) -> None:
    runs = Counter(line.path for line in observed.runs)
    doubled = [path for path, count in runs.items() if count > 1]
    assert doubled == []
    not_run = {
        record.path
        for record in observed.records
        if record.run_state == 'not-run'
    }
    assert not_run & runs.keys() == set()
    answered = [rec for rec in observed.records if not rec.code]
    assert answered
    assert [rec for rec in answered if rec.ran_path != rec.path] == []
    _check_rate(observed.runs)


def _check_rate(runs: list[RunLine]) -> None:
    times = sorted(line.at for line in runs)
    for place, start in enumerate(times):
        for count, end in enumerate(times[place:], start=1):
            assert count <= _RATE * (end - start) + _BURST + 1


async def _stop_first(fleet: ProcessFleet) -> None:
    await trio.sleep(2)
    await _stop_host(fleet, fleet.hosts[0])


async def _stop_host(fleet: ProcessFleet, host: HostProcesses) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.stop, host.node)
        await trio.sleep(0.2)
        nursery.start_soon(fleet.stop, host.target)


async def _kill_first(fleet: ProcessFleet) -> None:
    await trio.sleep(2)
    host = fleet.hosts[0]
    host.node.kill()
    host.target.kill()


async def _pause_first(fleet: ProcessFleet) -> None:
    await trio.sleep(2)
    node = fleet.hosts[0].node
    node.send_signal(signal.SIGSTOP)
    await trio.sleep(8)
    node.send_signal(signal.SIGCONT)
    await trio.sleep(2)


async def _lose_store(fleet: ProcessFleet) -> None:
    await trio.sleep(2)
    await fleet.set_store_faults(StoreFaults(is_down=True))
    await trio.sleep(6)
    await fleet.set_store_faults(StoreFaults())


async def _replace_all(fleet: ProcessFleet) -> None:
    for host in list(fleet.hosts):
        await _stop_host(fleet, host)
        started = fleet.start_host(host.place, host.plan)
        await fleet.wait_for(started.addresses.calls)
        await trio.sleep(_SETTLE_SECONDS)


async def test_planned_stop_cuts_no_call():
    observed = await _observe(_stop_first, seconds=8)
    _check_invariants(observed)
    assert [rec for rec in observed.records if rec.is_cut] == []


async def test_killed_host_runs_nothing_twice():
    observed = await _observe(_kill_first, seconds=8)
    _check_invariants(observed)


async def test_node_paused_past_its_leases_runs_nothing_twice():
    observed = await _observe(_pause_first, seconds=14)
    _check_invariants(observed)


async def test_lost_store_leaves_calls_running():
    observed = await _observe(_lose_store, seconds=10, method='GET')
    _check_invariants(observed)
    refused = [rec for rec in observed.records if rec.code]
    assert refused == []


async def test_fleet_replaced_one_by_one_cuts_no_call():
    observed = await _observe(_replace_all, seconds=40, rate=15)
    _check_invariants(observed)
    assert [rec for rec in observed.records if rec.is_cut] == []


async def test_rate_holds_over_all_hosts_together():
    observed = await _observe(_kill_first, seconds=8, rate=120)
    _check_invariants(observed)
