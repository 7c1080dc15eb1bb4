"""Planned stops, and the bounds on callers' connections."""

import trio
from builders import READ, running_fleet, service, service_text

from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.service_text import Route
from boragetrestle_kernel.settings import ConnectionLimits
from boragetrestle_standin.host_plan import HostPlan, OnwardCall

_PATH = '/walks/items/7'
_TEXT = service_text(
    service('walks', 'gate', routes=(READ,)),
    service('gate', routes=(READ,)),
)
_PLANS = [
    HostPlan('walks', work=3, onward=(OnwardCall('GET', '/gate/items/1'),)),
    HostPlan('gate', work=1),
]


async def test_planned_stop_cuts_no_call(autojump_clock):
    answers = []

    async def call(run, host, path):
        answers.append(await run.fleet.call(host, path, key=run.key))

    async with running_fleet(_PLANS, text=_TEXT) as run:
        walks = run.fleet.hosts[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, run, walks, _PATH)
            await trio.sleep(0.5)
            nursery.start_soon(walks.node.stop)
            await trio.sleep(1)
            nursery.start_soon(call, run, walks, '/gate/items/2')
            await trio.sleep(1.5)
            refused = await run.fleet.call(walks, _PATH, key=run.key)
    assert [answer.status for answer in answers] == [200, 200]
    assert (refused.code, refused.run_state) == ('node-draining', 'not-run')


async def test_stop_ends_by_its_timeout(autojump_clock):
    plans = [HostPlan('walks', work=1000)]
    slow = Route('GET', '/items/*', idempotent=True, deadline=1000)
    text = service_text(service('walks', routes=(slow,)))
    async with running_fleet(plans, text=text) as run:
        walks = run.fleet.hosts[0]
        run.nursery.start_soon(
            lambda: run.fleet.call(walks, _PATH, key=run.key)
        )
        await trio.sleep(0.5)
        started = trio.current_time()
        with trio.move_on_after(100):
            await walks.node.stop()
        taken = trio.current_time() - started
    timeout = walks.node.settings.drain_timeout
    assert timeout <= taken < timeout + 5


async def _open_call(run, host, key):
    stream = await run.network.dial(host.calls_address, dialer='127.2.0.1')
    connection = HttpClientConnection(stream)
    fields = [(b'host', b'a'), (b'authorization', b'Bearer ' + key.encode())]
    response = await connection.request(b'GET', b'/walks/items/1', fields)
    await response.read()
    return response


async def test_connections_are_bounded(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        host = run.fleet.hosts[0]
        bounds = ConnectionLimits(total=5, per_organisation=3)
        host.node.entry.connections.bounds = bounds
        by_owner = [
            (await _open_call(run, host, run.key)).status for _ in range(5)
        ]
        in_all = await _open_call(run, host, run.key)
        codes = [
            content
            for name, content in in_all.fields
            if name in {b'boragetrestle-code', b'connection'}
        ]
    assert by_owner == [200, 200, 200, 503, 503]
    assert sorted(codes) == [b'close', b'too-many-connections']
