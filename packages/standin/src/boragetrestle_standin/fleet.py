"""A small fleet of real nodes and stand-in targets in one process."""

import itertools
from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.clock import WallClock
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.http_fields import Fields, find_field
from boragetrestle_kernel.memory_network import HostNetwork, MemoryNetwork
from boragetrestle_kernel.network import Network
from boragetrestle_node.node import DEFAULT_POLICIES, Node
from boragetrestle_node.policies import Policies
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.host_addresses import (
    MEMORY_OCTET,
    HostAddresses,
    host_ip,
    process_octet,
)
from boragetrestle_standin.host_plan import HostPlan
from boragetrestle_standin.host_settings import host_settings
from boragetrestle_standin.target import StandinTarget
from boragetrestle_standin.work_log import WorkLog

_CALLER_HOST = '127.2.0.1'


class Answer(NamedTuple):
    """A whole answer as a caller sees it."""

    status: int
    fields: Fields
    body: bytes

    @property
    def code(self) -> str:
        """The refusal code, empty for a target's answer."""
        return find_field(self.fields, b'boragetrestle-code').decode()

    @property
    def run_state(self) -> str:
        """What a refusal says about running, empty for a target's answer."""
        return find_field(self.fields, b'boragetrestle-run').decode()

    @property
    def call_id(self) -> str:
        """The id of the call."""
        return find_field(self.fields, b'boragetrestle-call').decode()


class FleetHost:
    """One host that runs a node and a target."""

    def __init__(
        self,
        place: int,
        plan: HostPlan,
        node: Node,
        target: StandinTarget,
    ) -> None:
        self.place = place
        self.plan = plan
        self.node = node
        self.target = target
        self.cancel_scope = trio.CancelScope()

    @property
    def ip(self) -> str:
        """The IP address of the host."""
        return self.calls_address.host

    @property
    def addresses(self) -> HostAddresses:
        """The addresses of node and target."""
        return HostAddresses.of_host(self.ip)

    @property
    def calls_address(self) -> Address:
        """The address that callers reach the node at."""
        return Address.parse(self.node.settings.listen.calls)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run node and target until the host crashes."""
        with self.cancel_scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.node.run)
                await nursery.start(self.target.run)
                await self.target.announce()
                task_status.started()

    def crash(self) -> None:
        """End node and target at once."""
        self.cancel_scope.cancel()


class Fleet:
    """Hosts built from plans, on a given network and platform.

    Every host has its own loopback address, so that the same plan runs over TCP
    and in memory. ``platform_of`` returns the platform that the host with an IP
    address uses; without it, all hosts use ``platform``.
    """

    def __init__(
        self,
        plans: Sequence[HostPlan],
        *,
        network: Network,
        platform: Platform,
        clock: WallClock | None = None,
        seed: int = 0,
        policies: Policies = DEFAULT_POLICIES,
        work_log: WorkLog | None = None,
        platform_of: Callable[[str], Platform] | None = None,
    ) -> None:
        self.network = network
        self.platform_of = platform_of or (lambda _ip: platform)
        self.clock = clock
        self.seed = seed
        self.policies = policies
        self.work_log = work_log
        is_in_memory = isinstance(network, MemoryNetwork)
        self.octet = MEMORY_OCTET if is_in_memory else process_octet()
        self.places = itertools.count(1)
        self.hosts = [self.make_host(plan) for plan in plans]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all hosts, one after another."""
        for host in self.hosts:
            await nursery.start(host.run)

    async def add(self, plan: HostPlan, nursery: trio.Nursery) -> FleetHost:
        """Start one more host."""
        host = self.make_host(plan)
        self.hosts.append(host)
        await nursery.start(host.run)
        return host

    async def restart(
        self,
        host: FleetHost,
        nursery: trio.Nursery,
        *,
        peers: tuple[str, ...] = (),
    ) -> FleetHost:
        """Start a new process on the host of one that has ended.

        ``peers`` are the peer addresses in the settings of the new process.
        """
        plan = host.plan._replace(peers=peers)
        fresh = self.make_host(plan, place=host.place)
        self.hosts[self.hosts.index(host)] = fresh
        await nursery.start(fresh.run)
        return fresh

    def of_service(self, service: str) -> list[FleetHost]:
        """Return the hosts whose target serves a service."""
        return [host for host in self.hosts if host.target.service == service]

    def make_host(
        self,
        plan: HostPlan,
        *,
        place: int | None = None,
    ) -> FleetHost:
        """Build a host without starting it.

        Without ``place``, it gets the next free address."""
        place = place or next(self.places)
        ip = host_ip(place, octet=self.octet)
        network = self.network_of(ip)
        node = Node(
            host_settings(
                place,
                plan,
                peers=plan.peers,
                octet=self.octet,
            ),
            network=network,
            platform=self.platform_of(ip),
            clock=self.clock,
            seed=self.seed + place,
            policies=self.policies,
        )
        target = StandinTarget(
            network,
            HostAddresses.of_host(ip),
            plan,
            work_log=self.work_log,
        )
        return FleetHost(place, plan, node, target)

    def network_of(self, ip: str) -> Network:
        """Return the network as seen from one host."""
        if isinstance(self.network, MemoryNetwork):
            return HostNetwork(self.network, ip)
        return self.network

    async def call(
        self,
        host: FleetHost,
        path: str,
        *,
        key: str = '',
        method: str = 'GET',
        body: bytes = b'',
        fields: Fields | None = None,
        caller: str = _CALLER_HOST,
    ) -> Answer:
        """Call the node of a host on a new connection.

        ``caller`` is the IP address that the call comes from, in memory.
        """
        address = host.calls_address
        stream = await self.network_of(caller).dial(address)
        async with HttpClientConnection(stream) as connection:
            sent = [(b'host', str(address).encode()), *(fields or [])]
            if key:
                sent.append((b'authorization', f'Bearer {key}'.encode()))
            response = await connection.request(
                method.encode(),
                path.encode(),
                sent,
                body,
            )
            whole = await response.read()
        return Answer(response.status, response.fields, whole)
