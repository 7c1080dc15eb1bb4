"""Processor time of a call and memory of a connection in a node."""

from collections.abc import Sequence

import psutil
import trio

from boragetrestle_bench.added_time_bench import SERVICE_TEXT, timed_call
from boragetrestle_bench.figure import Figure
from boragetrestle_bench.process_fleet import HostProcesses, ProcessFleet
from boragetrestle_bench.process_setup import configure_processes
from boragetrestle_bench.registry import benchmark
from boragetrestle_bench.size import CALLS_PER_SECOND, UPSTREAMS
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_node.policies import Policies
from boragetrestle_standin.host_plan import HostPlan

_SETTLE_SECONDS = 6.0
_WARM_CALLS = 300
_CALLS = 4000
_CONNECTIONS = 1000
_CALLS_PER_SECOND = 300.0
_MICROSECONDS = 1_000_000
_KILOBYTE = 1000


async def _cpu_of_calls(
    fleet: ProcessFleet,
    host: HostProcesses,
    calls: int,
) -> float:
    """Return processor seconds of the node while it serves some calls."""
    watched = psutil.Process(host.node.pid)
    address = host.addresses.calls
    connection = HttpClientConnection(await fleet.network.dial(address))
    before = sum(watched.cpu_times()[:2])
    for _ in range(calls):
        await timed_call(connection, address)
        await trio.sleep(1 / _CALLS_PER_SECOND)
    await connection.aclose()
    return float(sum(watched.cpu_times()[:2]) - before)


async def _memory_of_connections(
    fleet: ProcessFleet,
    host: HostProcesses,
) -> float:
    """Return resident bytes of the node for each idle connection."""
    watched = psutil.Process(host.node.pid)
    address = host.addresses.calls
    before = watched.memory_info().rss
    opened = []
    for _ in range(_CONNECTIONS):
        connection = HttpClientConnection(await fleet.network.dial(address))
        await timed_call(connection, address)
        opened.append(connection)
    after = watched.memory_info().rss
    for connection in opened:
        await connection.aclose()
    return float(after - before) / _CONNECTIONS


async def _run() -> tuple[float, float]:
    async with ProcessFleet() as fleet:
        await fleet.start([HostPlan('walks')])
        await configure_processes(fleet, SERVICE_TEXT)
        await trio.sleep(_SETTLE_SECONDS)
        host = fleet.hosts[0]
        await _cpu_of_calls(fleet, host, _WARM_CALLS)
        seconds = await _cpu_of_calls(fleet, host, _CALLS)
        memory = await _memory_of_connections(fleet, host)
    return seconds / _CALLS, memory


@benchmark('call-cost', is_virtual=False, has_policies=False)
def measure(_policies: Policies, _seed: int) -> Sequence[Figure]:
    """Measure one node under paced calls; idle control is included."""
    seconds, memory = trio.run(_run)
    share = seconds * CALLS_PER_SECOND / UPSTREAMS
    return [
        Figure('processor time of a call, us', seconds * _MICROSECONDS),
        Figure('memory of a connection, KB', memory / _KILOBYTE),
        Figure('share of a core at the size to design for', share),
    ]
