"""Builders of test data."""

import random
from collections import defaultdict
from collections.abc import AsyncGenerator, Sequence
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import trio

from boragetrestle.operator import Operator
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.clock import VirtualWallClock
from boragetrestle_kernel.hybrid_clock import HybridClock
from boragetrestle_kernel.ids import (
    CallId,
    DomainName,
    KeyId,
    NodeId,
    OrgId,
    ServiceName,
    TargetId,
)
from boragetrestle_kernel.memory_network import MemoryNetwork
from boragetrestle_kernel.service_text import (
    Dependency,
    Organisation,
    Route,
    Service,
    ServiceText,
)
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.call import Call
from boragetrestle_node.ejector import Ejector
from boragetrestle_node.node import DEFAULT_POLICIES
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.policies import Policies
from boragetrestle_node.target_book import TargetBook
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.faults import StoreFaults
from boragetrestle_standin.faulty_objects import FaultyObjects
from boragetrestle_standin.faulty_table import FaultyTable
from boragetrestle_standin.fleet import Answer, Fleet
from boragetrestle_standin.host_plan import HostPlan
from boragetrestle_standin.work_log import WorkLog

SETTLE_SECONDS = 5.0
IDEMPOTENCY_KEY = b'idempotency-key'

READ = Route('GET', '/items/*', idempotent=True)
OPEN = Route('GET', '/open', open=True, idempotent=True)
WRITE = Route('POST', '/orders')
KEYED_WRITE = Route('POST', '/charges', idempotency_key='required')
ROUTES = (READ, OPEN, WRITE, KEYED_WRITE)


def service(
    name: str,
    *depends_on: str,
    routes: tuple[Route, ...] = ROUTES,
) -> Service:
    """Build a service with required dependencies."""
    dependencies = tuple(Dependency(other) for other in depends_on)
    return Service(name, routes=routes, depends_on=dependencies)


def organisation(
    name: str = 'acacia',
    *,
    rate: float = 1000,
    burst: float = 1000,
) -> Organisation:
    """Build an organisation with an ample rate."""
    return Organisation(name, rate=rate, burst=burst)


def service_text(
    *services: Service,
    organisations: Sequence[Organisation] | None = None,
) -> ServiceText:
    """Build a text; without services it has one named ``walks``."""
    return ServiceText(
        services=services or (service('walks'),),
        organisations=tuple(organisations or (organisation(),)),
    )


def call(*, seconds: float = 10, **changes: Any) -> Call:
    """Build a call of an idempotent route with a deadline in seconds."""
    values: dict[str, Any] = {
        'call_id': CallId('call'),
        'organisation': OrgId('acacia'),
        'key_id': KeyId('key'),
        'service': ServiceName('walks'),
        'route': READ,
        'call_class': CallClass.INTERACTIVE,
        'deadline': trio.current_time() + seconds,
        'attempts_left': 3,
    }
    return Call(**(values | changes))


def target_record(
    number: int,
    *,
    service: str = 'walks',
    domain: str = 'a',
) -> TargetRecord:
    """Build the record of a ready target on a host of its own."""
    return TargetRecord(
        target=TargetId(f'node-{number}:{service}'),
        service=ServiceName(service),
        node=NodeId(f'node-{number}'),
        domain=DomainName(domain),
        address=f'127.3.0.{number}:1',
        node_calls=f'127.3.0.{number}:2',
        node_peers=f'127.3.0.{number}:3',
        node_admin=f'127.3.0.{number}:4',
        slots=50,
        connections=400,
    )


class _NoLinks(PeerLinks):
    """Links that reach nobody."""

    def __init__(self) -> None:
        """Keep nothing."""

    def send(self, _address: Address, _message: Any) -> bool:
        """Send nothing."""
        return False


def lone_ejector(book: TargetBook) -> Ejector:
    """Build an ejector that tells no other node."""
    timeline = Timeline(HybridClock(VirtualWallClock()), node='node-1')
    return Ejector(book, timeline, _NoLinks(), random.Random(1))


class RunningFleet(NamedTuple):
    """A fleet in memory with its operator, its faults and one key.

    ``host_stores`` holds the faults of the store as single hosts see them.
    """

    fleet: Fleet
    operator: Operator
    network: MemoryNetwork
    store: StoreFaults
    table: MemoryTable
    objects: MemoryObjects
    work: WorkLog
    key: str
    key_id: str
    nursery: trio.Nursery
    host_stores: defaultdict[str, StoreFaults]


@asynccontextmanager
async def running_fleet(
    plans: Sequence[HostPlan],
    *,
    text: ServiceText | None = None,
    seed: int = 0,
    policies: Policies = DEFAULT_POLICIES,
) -> AsyncGenerator[RunningFleet, None]:
    """Run a fleet on the in-memory network with its text and a key in force."""
    network = MemoryNetwork()
    table = MemoryTable()
    faults = StoreFaults()
    objects = MemoryObjects()
    platform = Platform(
        FaultyTable(table, faults),
        FaultyObjects(objects, faults),
    )
    host_stores: defaultdict[str, StoreFaults] = defaultdict(StoreFaults)

    def platform_of(ip: str) -> Platform:
        return Platform(
            FaultyTable(platform.table, host_stores[ip]),
            FaultyObjects(platform.objects, host_stores[ip]),
        )

    operator = Operator(platform, name='tester')
    used = text or service_text()
    await operator.apply(used)
    given = await operator.give_key(used.organisations[0].name)
    work = WorkLog()
    fleet = Fleet(
        plans,
        network=network,
        platform=platform,
        clock=VirtualWallClock(),
        seed=seed,
        policies=policies,
        work_log=work,
        platform_of=platform_of,
    )
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        await trio.sleep(SETTLE_SECONDS)
        yield RunningFleet(
            fleet,
            operator,
            network,
            faults,
            table,
            objects,
            work,
            given.key,
            given.key_id,
            nursery,
            host_stores,
        )
        nursery.cancel_scope.cancel()


async def call_keyed(
    run: RunningFleet,
    idempotency_key: str,
    *,
    place: int = 0,
    path: str = '/walks/charges',
    body: bytes = b'',
) -> Answer:
    """Make a charge at one node with an idempotency key."""
    fields = [(IDEMPOTENCY_KEY, idempotency_key.encode())]
    return await run.fleet.call(
        run.fleet.hosts[place],
        path,
        key=run.key,
        method='POST',
        body=body,
        fields=fields if idempotency_key else [],
    )
