"""A fleet of real processes on loopback, for tests and benchmarks."""

import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import IO, NamedTuple, Self

import msgspec
import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.network import TcpNetwork
from boragetrestle_kernel.settings import PlatformSettings
from boragetrestle_standin.faults import StoreFaults
from boragetrestle_standin.host_addresses import (
    HostAddresses,
    host_ip,
    process_octet,
)
from boragetrestle_standin.host_plan import HostPlan
from boragetrestle_standin.host_settings import host_settings

_PLATFORM_PORT = 17_500
_PLATFORM_PLACE = 60_000
_START_SECONDS = 90.0
_POLL_SECONDS = 0.05
_END_SECONDS = 15.0


class HostProcesses(NamedTuple):
    """The processes of one host."""

    place: int
    plan: HostPlan
    addresses: HostAddresses
    node: subprocess.Popen[bytes]
    target: subprocess.Popen[bytes]


class ProcessFleet:
    """Start, signal and end the processes of a fleet.

    Every process is ended by its id when the fleet is left. Logs go to files
    in a temporary folder, which is removed.
    """

    def __init__(self) -> None:
        self.network = TcpNetwork()
        self.octet = process_octet()
        self.platform = Address(
            host_ip(_PLATFORM_PLACE, octet=self.octet),
            _PLATFORM_PORT,
        )
        self.hosts: list[HostProcesses] = []
        self.started: list[subprocess.Popen[bytes]] = []
        self.logs: list[IO[bytes]] = []
        self.folder = tempfile.TemporaryDirectory(prefix='boragetrestle-')

    @property
    def platform_settings(self) -> PlatformSettings:
        """How to reach the platform of this fleet."""
        return PlatformSettings(adapter='http', address=str(self.platform))

    async def start(self, plans: Sequence[HostPlan]) -> None:
        """Start the platform and one host for each plan."""
        self._run(
            'platform',
            '-m',
            'boragetrestle_standin.platform_main',
            str(self.platform),
        )
        await self.wait_for(self.platform)
        for place, plan in enumerate(plans, start=1):
            self.start_host(place, plan)
        for host in self.hosts:
            await self.wait_for(host.addresses.calls)
            await self.wait_for(host.addresses.target)

    def start_host(self, place: int, plan: HostPlan) -> HostProcesses:
        """Start node and target of one host; replace a host of that place."""
        ip = host_ip(place, octet=self.octet)
        host = HostProcesses(
            place,
            plan,
            HostAddresses.of_host(ip),
            node=self.start_node(place, plan),
            target=self._run(
                f'target-{place}',
                '-m',
                'boragetrestle_standin.target_main',
                ip,
                plan.service,
                '--slots',
                str(plan.slots),
                '--connections',
                str(plan.connections),
                '--work',
                str(plan.work),
                '--body-bytes',
                str(len(plan.body)),
            ),
        )
        self.hosts = [old for old in self.hosts if old.place != place]
        self.hosts.append(host)
        return host

    def start_node(self, place: int, plan: HostPlan) -> subprocess.Popen[bytes]:
        """Start the node of one host."""
        settings = host_settings(
            place,
            plan,
            platform=self.platform_settings,
            octet=self.octet,
        )
        path = Path(self.folder.name) / f'node-{place}.json'
        path.write_bytes(msgspec.json.encode(settings))
        return self._run(
            f'node-{place}',
            '-c',
            'from boragetrestle_node.main import main; main()',
            str(path),
        )

    async def set_store_faults(self, faults: StoreFaults) -> None:
        """Set the faults of the platform."""
        stream = await self.network.dial(self.platform)
        async with HttpClientConnection(stream) as connection:
            fields = [(b'host', str(self.platform).encode())]
            body = msgspec.json.encode(faults)
            response = await connection.request(
                b'POST', b'/faults', fields, body
            )
            await response.read()

    async def wait_for(self, address: Address) -> None:
        """Wait until an address accepts connections."""
        with trio.fail_after(_START_SECONDS):
            while not await self._accepts(address):
                await trio.sleep(_POLL_SECONDS)

    async def stop(self, process: subprocess.Popen[bytes]) -> int:
        """Ask a process to stop and return its exit code."""
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(_END_SECONDS):
            while process.poll() is None:
                await trio.sleep(_POLL_SECONDS)
        return process.returncode if process.poll() is not None else -1

    def log_of(self, name: str) -> str:
        """Return what a process has written so far."""
        return (Path(self.folder.name) / f'{name}.log').read_text()

    async def __aenter__(self) -> Self:
        """Return the fleet."""
        await trio.lowlevel.checkpoint()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process that was started."""
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for log in self.logs:
            log.close()
        self.folder.cleanup()

    async def _accepts(self, address: Address) -> bool:
        try:
            stream = await self.network.dial(address)
        except DialError:
            return False
        await stream.aclose()
        return True

    def _run(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        log = (Path(self.folder.name) / f'{name}.log').open('ab')
        self.logs.append(log)
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env=dict(os.environ),
        )
        self.started.append(process)
        return process
