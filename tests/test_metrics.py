"""Metrics as they are exported."""

import json

from builders import running_fleet

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_standin.host_plan import HostPlan


async def test_calls_and_refusals_are_exported(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        host = run.fleet.hosts[0]
        await run.fleet.call(host, '/walks/items/1', key=run.key)
        await run.fleet.call(host, '/walks/items/1', key=run.key)
        await run.fleet.call(host, '/walks/items/1')
        admin = Address.parse(host.node.settings.listen.admin)
        stream = await run.network.dial(admin)
        async with HttpClientConnection(stream) as connection:
            response = await connection.request(
                b'GET', b'/metrics', [(b'host', b'a')]
            )
            exported = json.loads(await response.read())
    scope = exported['resource_metrics'][0]['scope_metrics'][0]
    counted = {
        metric['name']: [
            (point['attributes'], point['value'])
            for point in metric['data']['data_points']
        ]
        for metric in scope['metrics']
    }
    assert counted['boragetrestle.calls'] == [
        ({'service': 'walks', 'class': 'interactive'}, 2),
    ]
    assert counted['boragetrestle.refusals'] == [
        ({'service': '', 'code': 'not-authorised'}, 1),
    ]
