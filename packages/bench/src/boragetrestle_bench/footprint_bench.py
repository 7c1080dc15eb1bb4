"""Processor time and memory of control, as a slope over real nodes."""

from collections.abc import Sequence
from typing import NamedTuple

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
from boragetrestle_bench.slope import extrapolate
from boragetrestle_bench.state_bench import full_text
from boragetrestle_node.policies import Policies
from boragetrestle_standin.host_plan import HostPlan

_FLEETS = (8, 32, 128)
_SETTLE_SECONDS = 15.0
_WINDOW_SECONDS = 30.0
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
