"""Run a stand-in for the platform as a process.

Start it with ``python -m boragetrestle_standin.platform_main IP:PORT``; its
faults are set by a POST of JSON to ``/faults``.
"""

import defopt
import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.http_server import HttpServerConnection
from boragetrestle_kernel.network import TcpNetwork
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.faults import StoreFaults
from boragetrestle_standin.faulty_objects import FaultyObjects
from boragetrestle_standin.faulty_table import FaultyTable
from boragetrestle_standin.platform_server import PlatformServer


def run_platform(address: str) -> None:
    """Serve an empty table and object store until the process is ended.

    :param address: where to listen, as IP:PORT
    """
    trio.run(_serve, Address.parse(address))


async def _serve(address: Address) -> None:
    faults = StoreFaults()
    platform = Platform(
        FaultyTable(MemoryTable(), faults),
        FaultyObjects(MemoryObjects(), faults),
    )
    server = PlatformServer(platform, faults)

    async def accept(stream: trio.abc.Stream) -> None:
        await HttpServerConnection(stream).serve(server.handle)

    listener = await TcpNetwork().listen(address)
    await trio.serve_listeners(accept, [listener])


if __name__ == '__main__':
    defopt.run(run_platform)
