"""Processor time and memory of control, as a slope over real nodes."""

import math
from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
import psutil
import trio

from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.process_fleet import ProcessFleet
from boragetrestle_bench.process_setup import configure_processes
from boragetrestle_bench.registry import benchmark
from boragetrestle_bench.size import (
    DOMAINS,
    HOSTS_PER_SERVICE,
    MAX_CPU_SHARE,
    MAX_MEGABYTES,
    UPSTREAMS,
)
from boragetrestle_bench.state_bench import full_text
from boragetrestle_node.policies import Policies
from boragetrestle_standin.host_plan import HostPlan

_FLEETS = (8, 32, 128)
_SETTLE_SECONDS = 25.0
_WINDOW_SECONDS = 40.0
_MEGABYTE = 1_000_000


class Footprint(NamedTuple):
    """Mean processor share and the largest resident megabytes of a node."""

    nodes: int
    cpu_share: float
    megabytes: float


async def _footprint(nodes: int) -> Footprint:
    plans = [
        HostPlan(
            f'service-{place // HOSTS_PER_SERVICE}',
            domain=DOMAINS[place % len(DOMAINS)],
        )
        for place in range(nodes)
    ]
    async with ProcessFleet() as fleet:
        await fleet.start(plans)
        await configure_processes(fleet, full_text())
        await trio.sleep(_SETTLE_SECONDS)
        watched = [psutil.Process(host.node.pid) for host in fleet.hosts]
        before = _cpu_seconds(watched)
        await trio.sleep(_WINDOW_SECONDS)
        used = _cpu_seconds(watched) - before
        resident = max(proc.memory_info().rss for proc in watched)
    return Footprint(
        nodes,
        used / _WINDOW_SECONDS / nodes,
        resident / _MEGABYTE,
    )


def _cpu_seconds(watched: Sequence[psutil.Process]) -> float:
    return sum(sum(proc.cpu_times()[:2]) for proc in watched)


def extrapolate(points: Sequence[tuple[float, float]], at: float) -> float:
    """Return the value at a size by a straight line over its logarithm.

    >>> round(extrapolate([(8, 3.0), (16, 4.0), (32, 5.0)], 64), 6)
    6.0
    """
    sizes = [math.log2(size) for size, _ in points]
    slope, offset = np.polyfit(sizes, [value for _, value in points], 1)
    return float(slope * math.log2(at) + offset)


@benchmark('footprint', is_virtual=False, has_policies=False)
def measure(_policies: Policies, _seed: int) -> Sequence[Figure]:
    """Measure fleets of real nodes and work out the size to design for."""
    prints = [trio.run(_footprint, nodes) for nodes in _FLEETS]
    figures: list[Figure] = []
    for found in prints:
        figures.extend((
            Figure(f'share of a core at {found.nodes} nodes', found.cpu_share),
            Figure(f'resident MB at {found.nodes} nodes', found.megabytes),
        ))
    shares = [(found.nodes, found.cpu_share) for found in prints]
    sizes = [(found.nodes, found.megabytes) for found in prints]
    figures.extend((
        Figure(
            f'share of a core at {UPSTREAMS} nodes, worked out',
            extrapolate(shares, UPSTREAMS),
            bound=MAX_CPU_SHARE,
            limit=Limit.AT_MOST,
            source='letter 1: 1.5% of a core',
        ),
        Figure(
            f'resident MB at {UPSTREAMS} nodes, worked out',
            extrapolate(sizes, UPSTREAMS),
            bound=MAX_MEGABYTES,
            limit=Limit.AT_MOST,
            source='letter 1: 64 MB',
        ),
    ))
    return figures
