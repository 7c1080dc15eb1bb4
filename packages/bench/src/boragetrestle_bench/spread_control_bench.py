"""Control traffic of an idle fleet, as slopes over its size."""

from collections.abc import Sequence
from typing import NamedTuple

import trio

from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.registry import benchmark
from boragetrestle_bench.spread_fleet import SpreadFleet, measure_fleet
from boragetrestle_node.policies import Policies

_SIZES = (8, 32, 128)
_WATCH_SECONDS = 30.0
_MAX_BYTES = 10_000.0
_SOURCE = 'letter 1: 10 KB a second for control'


class ControlTraffic(NamedTuple):
    """Rates of a fleet at rest; messages and bytes are those sent by links.

    Bytes are counted without the framing of WebSockets and TCP.
    """

    messages: float
    total_bytes: float
    most_bytes: float
    reads: float
    writes: float


async def control_traffic(run: SpreadFleet) -> ControlTraffic:
    """Return the rates a second, per node but for those of the store."""
    links = [node.links for node in run.nodes]
    messages = sum(link.sent_messages for link in links)
    sent = [link.sent_bytes for link in links]
    reads, commits = run.table.reads, run.table.commits
    await trio.sleep(_WATCH_SECONDS)
    count = len(links)
    grown = [
        (link.sent_bytes - before) / _WATCH_SECONDS
        for link, before in zip(links, sent, strict=True)
    ]
    now_sent = sum(link.sent_messages for link in links)
    return ControlTraffic(
        messages=(now_sent - messages) / count / _WATCH_SECONDS,
        total_bytes=sum(grown) / count,
        most_bytes=max(grown),
        reads=(run.table.reads - reads) / _WATCH_SECONDS,
        writes=(run.table.commits - commits) / _WATCH_SECONDS,
    )


@benchmark('control', has_policies=False)
def control(_policies: Policies, seed: int) -> Sequence[Figure]:
    """Measure the control traffic at three sizes of the fleet."""
    figures: list[Figure] = []
    for size in _SIZES:
        figures.extend(_figures(size, seed))
    return figures


def _figures(size: int, seed: int) -> list[Figure]:
    traffic = measure_fleet(size, control_traffic, seed=seed)
    return [
        Figure(f'messages a second a node, {size} nodes', traffic.messages),
        Figure(f'bytes a second a node, {size} nodes', traffic.total_bytes),
        Figure(
            f'bytes a second at the busiest node, {size} nodes',
            traffic.most_bytes,
            bound=_MAX_BYTES,
            limit=Limit.AT_MOST,
            source=_SOURCE,
        ),
        Figure(f'store reads a second in all, {size} nodes', traffic.reads),
        Figure(f'store writes a second in all, {size} nodes', traffic.writes),
    ]
