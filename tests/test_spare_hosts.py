"""Wanted targets of a service, and hosts that start and rest unseen."""

import msgspec
import pytest
import trio
from builders import running_fleet

from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.ids import ServiceName
from boragetrestle_node.wanted_targets import (
    LEAST_TARGETS,
    REST_SECONDS,
    TargetLoad,
    WantedTargets,
)
from boragetrestle_standin.host_plan import HostPlan

_WALKS = ServiceName('walks')
_PATH = '/walks/orders'


def _loads(busy, count=4, **changes):
    return [TargetLoad(busy, 10, **changes)] * count


@pytest.mark.parametrize(
    ('loads', 'needed'),
    [
        ([], LEAST_TARGETS),
        (_loads(0), LEAST_TARGETS),
        (_loads(6), 4),
        (_loads(9), 6),
        (_loads(1, is_shedding=True), 6),
    ],
)
def test_need_follows_load_and_shedding(loads, needed):
    assert WantedTargets().update(loads, now=0) == needed


def test_short_lull_puts_no_host_to_rest():
    wanted = WantedTargets()
    wanted.update(_loads(9), now=0)
    counts = [
        wanted.update(_loads(1), now=1),
        wanted.update(_loads(1), now=REST_SECONDS),
        wanted.update(_loads(9), now=REST_SECONDS + 0.5),
        wanted.update(_loads(1), now=REST_SECONDS + 2),
    ]
    assert counts == [6, 6, 6, 6]


def test_long_lull_rests_one_host_at_a_time():
    wanted = WantedTargets()
    wanted.update(_loads(9), now=0)
    counts = [
        wanted.update(_loads(1), now=1 + lull * REST_SECONDS)
        for lull in range(7)
    ]
    assert counts == [6, 5, 4, 3, 2, 2, 2]


async def _load(run, host, *, seconds, rate, statuses):
    async def call():
        started_at = trio.current_time()
        answer = await run.fleet.call(
            host,
            _PATH,
            method='POST',
            key=run.key,
        )
        statuses.append((answer.status, trio.current_time() - started_at))

    async with trio.open_nursery() as nursery:
        for _ in range(int(seconds * rate)):
            nursery.start_soon(call)
            await trio.sleep(1 / rate)


async def test_all_nodes_of_a_service_want_the_same(autojump_clock):
    plans = [HostPlan('walks', work=0.2, slots=5)] * 3
    async with running_fleet(plans) as run:
        async with trio.open_nursery() as nursery:
            for host in run.fleet.hosts:
                nursery.start_soon(_drive, run, host)
            await trio.sleep(14)
            wanted = [
                host.node.outbound.loads.wanted()[_WALKS]
                for host in run.fleet.hosts
            ]
            status = await _status(run, run.fleet.hosts[0])
            metrics = run.fleet.hosts[0].node.metrics.export()
    assert min(wanted) == max(wanted)
    assert wanted[0] >= 4
    assert status['wanted_targets'] == {'walks': wanted[0]}
    assert 'boragetrestle.targets.wanted' in metrics


async def _drive(run, host):
    await _load(run, host, seconds=15, rate=18, statuses=[])


async def _status(run, host):
    address = host.target.addresses.admin
    network = run.fleet.network_of(address.host)
    stream = await network.dial(address)
    async with HttpClientConnection(stream) as connection:
        response = await connection.request(
            b'GET',
            b'/v1/status',
            [(b'host', str(address).encode())],
        )
        return msgspec.json.decode(await response.read())


async def test_waking_and_resting_hosts_fail_no_call(autojump_clock):
    plan = HostPlan('walks', work=0.1, slots=10)
    statuses: list[tuple[int, float]] = []
    async with running_fleet([plan] * 2) as run:
        entry = run.fleet.hosts[0]
        async with trio.open_nursery() as nursery:

            async def drive():
                await _load(
                    run,
                    entry,
                    seconds=24,
                    rate=50,
                    statuses=statuses,
                )

            nursery.start_soon(drive)
            await trio.sleep(4)
            woken = await run.fleet.add(plan, run.nursery)
            await trio.sleep(12)
            served = woken.target.calls.total()
            await woken.node.stop()
            woken.crash()
    assert served > 50
    assert {status for status, _ in statuses} == {200}
    assert max(seconds for _, seconds in statuses) < 0.5
