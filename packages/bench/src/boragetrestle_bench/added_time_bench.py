"""Time that a node adds to a call, beside the direct call, over loopback."""

import random
from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
import trio

from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.process_fleet import ProcessFleet
from boragetrestle_bench.process_setup import (
    BENCH_KEY,
    configure_processes,
)
from boragetrestle_bench.registry import benchmark
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.network import TcpNetwork
from boragetrestle_kernel.service_text import (
    Organisation,
    Route,
    Service,
    ServiceText,
)
from boragetrestle_node.policies import Policies
from boragetrestle_standin.host_plan import HostPlan

_SERVICE = 'walks'
_PATH = b'/walks/items/7'
_AMPLE_RATE = 100_000
_SETTLE_SECONDS = 6.0
_WARM_CALLS = 200
_PAIRS = 2000
_PAIRS_OF_LARGE = 30
_PAIRS_PER_SECOND = 100.0
_LARGE_BYTES = 10_000_000
_BODIES = (512, 65_536, _LARGE_BYTES)
_CONNECTIONS = (1, 32, 256)
_TARGET_ADDED_MS = 1.3
_PERCENTILES = (50, 90, 99)
SERVICE_TEXT = ServiceText(
    services=(
        Service(
            _SERVICE,
            routes=(Route('GET', '/items/*', idempotent=True),),
        ),
    ),
    organisations=(
        Organisation('acacia', rate=_AMPLE_RATE, burst=_AMPLE_RATE),
    ),
)
_MS = 1000


class Pair(NamedTuple):
    """Two connections for paired calls: to the target and through a node."""

    direct: HttpClientConnection
    through: HttpClientConnection


class Timings(NamedTuple):
    """Times of paired calls in seconds."""

    direct: list[float]
    through: list[float]

    def added_ms(self, percentile: int) -> float:
        """Return the difference of a percentile in milliseconds."""
        direct = np.percentile(self.direct, percentile)
        through = np.percentile(self.through, percentile)
        return float(through - direct) * _MS


async def timed_call(
    connection: HttpClientConnection, address: Address
) -> float:
    """Make one call with the key in force and return its seconds."""
    started_at = trio.current_time()
    response = await connection.request(
        b'GET',
        _PATH,
        [
            (b'host', str(address).encode()),
            (b'authorization', f'Bearer {BENCH_KEY}'.encode()),
        ],
    )
    await response.read()
    seconds = trio.current_time() - started_at
    connection.start_next()
    return seconds


async def _measure_pairs(
    direct: Address, through: Address, *, connections: int, pairs: int
) -> Timings:
    network = TcpNetwork()
    opened = [
        Pair(
            HttpClientConnection(await network.dial(direct)),
            HttpClientConnection(await network.dial(through)),
        )
        for _ in range(connections)
    ]
    rng = random.Random(connections)
    timings = Timings([], [])
    for place in range(-_WARM_CALLS, pairs):
        pair = opened[place % connections]
        seconds = await _time_pair(pair, direct, through, rng)
        if place >= 0:
            timings.direct.append(seconds[0])
            timings.through.append(seconds[1])
        await trio.sleep(rng.expovariate(_PAIRS_PER_SECOND))
    for pair in opened:
        await pair.direct.aclose()
        await pair.through.aclose()
    return timings


async def _time_pair(
    pair: Pair, direct: Address, through: Address, rng: random.Random
) -> tuple[float, float]:
    if rng.getrandbits(1):
        first = await timed_call(pair.direct, direct)
        return first, await timed_call(pair.through, through)
    second = await timed_call(pair.through, through)
    return await timed_call(pair.direct, direct), second


async def _run(body: int, connections: int) -> Timings:
    async with ProcessFleet() as fleet:
        await fleet.start([HostPlan(_SERVICE, body=b'x' * body)])
        await configure_processes(fleet, SERVICE_TEXT)
        await trio.sleep(_SETTLE_SECONDS)
        at = fleet.hosts[0].addresses
        pairs = _PAIRS_OF_LARGE if body == _LARGE_BYTES else _PAIRS
        return await _measure_pairs(
            at.target, at.calls, connections=connections, pairs=pairs
        )


def _register(body: int, connections: int) -> None:
    @benchmark(
        f'added-time-{body}-bytes-{connections}-connections',
        is_virtual=False,
        has_policies=False,
    )
    def measure(_policies: Policies, _seed: int) -> Sequence[Figure]:
        timings = trio.run(_run, body, connections)
        bound = _TARGET_ADDED_MS if body == min(_BODIES) else None
        figures = [
            Figure(
                f'direct p{percentile}, ms',
                float(np.percentile(timings.direct, percentile)) * _MS,
            )
            for percentile in _PERCENTILES
        ]
        for percentile in _PERCENTILES:
            is_bound = percentile == max(_PERCENTILES)
            figures.append(
                Figure(
                    f'added at p{percentile}, ms',
                    timings.added_ms(percentile),
                    bound=bound if is_bound else None,
                    limit=Limit.AT_MOST,
                    source='letter 1: 1.3 ms added for 99 in 100',
                )
            )
        return figures


def _register_all() -> None:
    for body in _BODIES:
        for connections in _CONNECTIONS:
            _register(body, connections)


_register_all()
