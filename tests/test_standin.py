"""Stand-ins whose faults are set over HTTP."""

import msgspec
import pytest
import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.http_server import HttpServerConnection
from boragetrestle_kernel.memory_network import MemoryNetwork
from boragetrestle_platform.http_platform import (
    HttpObjects,
    HttpTable,
    PlatformHttpClient,
)
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_platform.table import Put, Transaction
from boragetrestle_standin.faults import StoreFaults
from boragetrestle_standin.faulty_objects import FaultyObjects
from boragetrestle_standin.faulty_table import FaultyTable
from boragetrestle_standin.platform_server import PlatformServer

_ADDRESS = Address('10.0.0.1', 7000)


async def _start_server(network, nursery):
    faults = StoreFaults()
    stores = Platform(
        FaultyTable(MemoryTable(), faults),
        FaultyObjects(MemoryObjects(), faults),
    )
    server = PlatformServer(stores, faults)

    async def accept(stream):
        await HttpServerConnection(stream).serve(server.handle)

    listener = await network.listen(_ADDRESS)
    nursery.start_soon(trio.serve_listeners, accept, [listener])


async def _set_faults(network, **faults):
    stream = await network.dial(_ADDRESS)
    async with HttpClientConnection(stream) as connection:
        body = msgspec.json.encode(faults)
        fields = [(b'host', str(_ADDRESS).encode())]
        response = await connection.request(b'POST', b'/faults', fields, body)
        await response.read()
    assert response.status == 200


async def test_platform_server_applies_faults_set_over_http(autojump_clock):
    network = MemoryNetwork()
    async with trio.open_nursery() as nursery:
        await _start_server(network, nursery)
        caller = PlatformHttpClient(network, _ADDRESS, timeout=1)
        table = HttpTable(caller)
        objects = HttpObjects(caller)
        await _set_faults(network, lost_answers=1, lost_puts=1)
        write = Transaction(writes=(Put('a', b'1'),))
        with pytest.raises(OutcomeUnknownError):
            await table.commit(write)
        with pytest.raises(StoreError):
            await objects.put('b', b'2')
        assert (await table.read(['a'])).rows[0].content == b'1'
        assert await objects.get('b') == b'2'
        await _set_faults(network, is_down=True)
        with pytest.raises(StoreError):
            await table.read(['a'])
        nursery.cancel_scope.cancel()
