"""Measure the time that one node adds to a call, paired with a direct call.

Run it with ``python -m boragetrestle_bench.added_time``. Platform, node and
target run as processes of their own; the callers run in this one. Each caller
takes turns: one call straight to the target, one through the node.
"""

import math
import os
import signal
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Generator, Sequence
from contextlib import ExitStack, contextmanager
from http import HTTPStatus
from pathlib import Path
from typing import NamedTuple

import defopt
import msgspec
import psutil
import trio

import boragetrestle_platform.http_platform  # noqa: F401
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.change import (
    AnyChange,
    KeyGiven,
    SecretAdded,
    TextApplied,
)
from boragetrestle_kernel.digest import digest_key, new_key
from boragetrestle_kernel.errors import DialError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.ids import KeyId, OrgId, Version
from boragetrestle_kernel.network import TcpNetwork
from boragetrestle_kernel.service_text import (
    Organisation,
    Route,
    Service,
    ServiceText,
)
from boragetrestle_kernel.settings import PlatformSettings
from boragetrestle_platform.change_log import ChangeLog
from boragetrestle_platform.platform import connect_platform
from boragetrestle_standin.host_addresses import HostAddresses

_IP = '127.3.0.1'
_PLATFORM_PORT = 17_399
_PLATFORM = Address(_IP, _PLATFORM_PORT)
_HOST = HostAddresses.of_host(_IP)
_PATH = b'/walks/items/7'
_SECRET_VARIABLE = 'BORAGETRESTLE_FLEET_SECRET'
_START_SECONDS = 10.0
_SETTLE_SECONDS = 3.0
_RETRY_SECONDS = 0.05
_WARM_CALLS = 50
_MICROSECONDS = 1_000_000
_RATE = 1_000_000


class AddedTime(NamedTuple):
    """Times of paired calls in microseconds, by percentile.

    ``node_cpu`` is the processor time of the node for one call.
    """

    connections: int
    body_bytes: int
    calls: int
    direct: tuple[float, ...]
    through: tuple[float, ...]
    added: tuple[float, ...]
    node_cpu: float


PERCENTILES = (50, 90, 99)


def main(
    *,
    connections: Sequence[int] = (1, 32),
    calls: int = 3000,
    body_bytes: int = 512,
) -> None:
    """Print direct, through and added times as JSON lines.

    :param connections: numbers of connections that call at once
    :param calls: pairs of calls for each number of connections
    :param body_bytes: size of each answer
    """
    with running_path(body_bytes) as (key, node):
        for count in connections:
            found = trio.run(measure, key, node, count, calls, body_bytes)
            sys.stdout.write(f'{msgspec.json.encode(found).decode()}\n')
            sys.stdout.flush()


@contextmanager
def running_path(
    body_bytes: int,
) -> Generator[tuple[str, psutil.Process], None, None]:
    """Run platform, node and target as processes; yield a key and the node."""
    with ExitStack() as stack:
        stack.enter_context(_process(_platform_command()))
        key = trio.run(_give_key)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        settings = Path(folder) / 'node.json'
        settings.write_bytes(msgspec.json.encode(_settings()))
        node = stack.enter_context(_process(_node_command(settings)))
        trio.run(_wait_for, _HOST.admin)
        stack.enter_context(_process(_target_command(body_bytes)))
        trio.run(trio.sleep, _SETTLE_SECONDS)
        yield key, psutil.Process(node)


async def measure(
    key: str,
    node: psutil.Process,
    connections: int,
    calls: int,
    body_bytes: int,
) -> AddedTime:
    """Return the times of pairs of calls on some connections."""
    pairs: list[tuple[float, float]] = []
    cpu_before = _cpu_seconds(node)

    async def use_connections() -> None:
        network = TcpNetwork()
        direct = HttpClientConnection(await network.dial(_HOST.target))
        through = HttpClientConnection(await network.dial(_HOST.calls))
        for _ in range(_WARM_CALLS):
            await _time_call(direct, key)
            await _time_call(through, key)
        for _ in range(math.ceil(calls / connections)):
            pairs.append((
                await _time_call(direct, key),
                await _time_call(through, key),
            ))
        await direct.aclose()
        await through.aclose()

    async with trio.open_nursery() as nursery:
        for _ in range(connections):
            nursery.start_soon(use_connections)
    cpu = _cpu_seconds(node) - cpu_before
    cpu_a_call = cpu / (len(pairs) + connections * _WARM_CALLS)
    return _summarise(pairs, connections, body_bytes, cpu_a_call)


def _summarise(
    pairs: list[tuple[float, float]],
    connections: int,
    body_bytes: int,
    cpu: float,
) -> AddedTime:
    direct = _percentiles([pair[0] for pair in pairs])
    through = _percentiles([pair[1] for pair in pairs])
    added = tuple(
        round(slow - fast, 1)
        for slow, fast in zip(through, direct, strict=True)
    )
    return AddedTime(
        connections,
        body_bytes,
        len(pairs),
        direct,
        through,
        added,
        round(cpu * _MICROSECONDS, 1),
    )


def _cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _percentiles(seconds: list[float]) -> tuple[float, ...]:
    cuts = statistics.quantiles(seconds, n=100)
    return tuple(
        round(cuts[percentile - 1] * _MICROSECONDS, 1)
        for percentile in PERCENTILES
    )


async def _time_call(connection: HttpClientConnection, key: str) -> float:
    fields = [
        (b'host', str(_HOST.calls).encode()),
        (b'authorization', f'Bearer {key}'.encode()),
    ]
    started = trio.current_time()
    answer = await connection.request(b'GET', _PATH, fields)
    await answer.read()
    taken = trio.current_time() - started
    if answer.status != HTTPStatus.OK:
        raise RuntimeError(f'a call was answered with {answer.status}')
    connection.start_next()
    return taken


async def _give_key() -> str:
    await _wait_for(_PLATFORM)
    settings = PlatformSettings(adapter='http', address=str(_PLATFORM))
    log = ChangeLog(connect_platform(settings, TcpNetwork()).table)
    key = new_key()
    for version, change in enumerate(_changes(key)):
        await log.append(change, expected=Version(version))
    return key


def _changes(key: str) -> tuple[AnyChange, ...]:
    route = Route('GET', '/items/*', idempotent=True)
    organisation = Organisation('acacia', rate=_RATE, burst=_RATE)
    text = ServiceText(
        services=(Service('walks', routes=(route,)),),
        organisations=(organisation,),
    )
    owner = OrgId(organisation.name)
    return (
        SecretAdded(1, b'measured'),
        TextApplied(text),
        KeyGiven(KeyId('measured'), digest_key(key), owner),
    )


async def _wait_for(address: Address) -> None:
    with trio.fail_after(_START_SECONDS):
        while True:
            try:
                stream = await TcpNetwork().dial(address)
            except DialError:
                await trio.sleep(_RETRY_SECONDS)
                continue
            await stream.aclose()
            return


@contextmanager
def _process(command: list[str]) -> Generator[int, None, None]:
    environment = {**os.environ, _SECRET_VARIABLE: 'measured fleet'}
    with subprocess.Popen(
        command,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    ) as process:
        try:
            yield process.pid
        finally:
            process.send_signal(signal.SIGKILL)


def _settings() -> dict[str, object]:
    return {
        'node': 'measured',
        'domain': 'a',
        'listen': {
            'calls': str(_HOST.calls),
            'peers': str(_HOST.peers),
            'admin': str(_HOST.admin),
        },
        'platform': {'adapter': 'http', 'address': str(_PLATFORM)},
        'fleet_secrets': [{'env': _SECRET_VARIABLE}],
    }


def _platform_command() -> list[str]:
    module = 'boragetrestle_standin.platform_main'
    return [sys.executable, '-m', module, str(_PLATFORM)]


def _node_command(settings: Path) -> list[str]:
    program = Path(sys.executable).parent / 'boragetrestle-node'
    return [str(program), str(settings)]


def _target_command(body_bytes: int) -> list[str]:
    return [
        sys.executable,
        '-m',
        'boragetrestle_standin.target_main',
        _IP,
        'walks',
        '--body-bytes',
        str(body_bytes),
    ]


if __name__ == '__main__':
    defopt.run(main)
