"""Memory of a node's state at the size to design for."""

import gc
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import trio

from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.registry import benchmark
from boragetrestle_bench.size import (
    DOMAINS,
    HOSTS_PER_SERVICE,
    KEYS,
    ORGANISATIONS,
    SERVICES,
    UPSTREAMS,
)
from boragetrestle_kernel.clock import SystemClock
from boragetrestle_kernel.digest import digest_key
from boragetrestle_kernel.fleet_state import (
    FleetState,
    KeyRecord,
    Snapshot,
)
from boragetrestle_kernel.hybrid_clock import HybridClock
from boragetrestle_kernel.ids import (
    DomainName,
    Incarnation,
    KeyId,
    NodeId,
    OrgId,
    ServiceName,
    TargetId,
    Version,
)
from boragetrestle_kernel.member_record import MemberRecord
from boragetrestle_kernel.service_text import (
    Dependency,
    Organisation,
    Route,
    Service,
    ServiceText,
)
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.directory import Directory
from boragetrestle_node.members import Members
from boragetrestle_node.policies import Policies

_MEGABYTE = 1_000_000
_MAX_STATE_MEGABYTES = 20
_ROUTES_PER_SERVICE = 4
_PORT = 7400
_SLOTS = 50
_RATE = 100
_CONNECTIONS = 400
_HOSTS_PER_BLOCK = 250


def member(place: int) -> MemberRecord:
    """Return the record of one of the nodes at the size to design for."""
    service = f'service-{place // HOSTS_PER_SERVICE}'
    block, offset = divmod(place, _HOSTS_PER_BLOCK)
    ip = f'10.{block}.0.{offset}'
    target = TargetRecord(
        target=TargetId(f'node-{place}:{service}'),
        service=ServiceName(service),
        node=NodeId(f'node-{place}'),
        domain=DomainName(DOMAINS[place % len(DOMAINS)]),
        address=f'{ip}:{_PORT}',
        node_calls=f'{ip}:{_PORT + 1}',
        node_peers=f'{ip}:{_PORT + 2}',
        node_admin=f'{ip}:{_PORT + 3}',
        slots=_SLOTS,
        connections=_CONNECTIONS,
        region=f'region-{place % 2}',
    )
    return MemberRecord(
        node=target.node,
        domain=target.domain,
        region=target.region,
        peers=target.node_peers,
        incarnation=Incarnation(1),
        targets=(target,),
    )


def full_text() -> ServiceText:
    """Return a text of all services with a chain of dependencies."""
    return ServiceText(
        services=tuple(_service(place) for place in range(SERVICES)),
        organisations=tuple(
            Organisation(f'organisation-{place}', rate=_RATE, burst=_RATE)
            for place in range(ORGANISATIONS)
        ),
    )


def _service(place: int) -> Service:
    return Service(
        f'service-{place}',
        routes=tuple(
            Route('GET', f'/items-{number}/*', idempotent=True)
            for number in range(_ROUTES_PER_SERVICE)
        ),
        depends_on=tuple(
            Dependency(f'service-{other}')
            for other in (place + 1, place + 2)
            if other < SERVICES
        ),
    )


def _members() -> Members:
    members = Members()
    for place in range(UPSTREAMS):
        members.merge(member(place))
    return members


async def _async_members() -> Members:
    await trio.lowlevel.checkpoint()
    return _members()


def _directory() -> Directory:
    directory = Directory()
    for place in range(UPSTREAMS):
        directory.apply_all(member(place).targets)
    return directory


def _fleet_state() -> FleetState:
    state = FleetState()
    keys = tuple(
        KeyRecord(
            KeyId(f'key-{place}'),
            digest_key(f'key-{place}'),
            OrgId(f'organisation-{place % ORGANISATIONS}'),
        )
        for place in range(KEYS)
    )
    state.restore(Snapshot(Version(1), full_text(), keys))
    return state


def _timeline() -> Timeline:
    timeline = Timeline(HybridClock(SystemClock()), node='node-1')
    for place in range(timeline.other_events.maxlen or 0):
        timeline.record(
            EventKind.CALL_REFUSED,
            reason='rate-exceeded',
            call=f'{place:032x}',
            organisation='organisation-1',
            service='service-1',
        )
    return timeline


_PARTS: dict[str, Callable[[], Any]] = {
    'members': lambda: trio.run(_async_members),
    'directory': _directory,
    'text and keys': _fleet_state,
    'time line': _timeline,
}


def _megabytes(build: Callable[[], Any]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / _MEGABYTE


@benchmark('state-at-size', is_virtual=False, has_policies=False)
def measure(_policies: Policies, _seed: int) -> Sequence[Figure]:
    """Measure the memory of each part of a node's state."""
    sizes = {name: _megabytes(build) for name, build in _PARTS.items()}
    figures = [Figure(f'{name}, MB', size) for name, size in sizes.items()]
    figures.append(
        Figure(
            'state in all, MB',
            sum(sizes.values()),
            bound=_MAX_STATE_MEGABYTES,
            limit=Limit.AT_MOST,
            source='letter 1: 64 MB a node, of which 44 MB is the process',
        ),
    )
    return figures
