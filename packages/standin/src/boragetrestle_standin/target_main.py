"""Run a stand-in target as a process.

Start it with ``python -m boragetrestle_standin.target_main IP SERVICE``; its
faults are set by a POST of JSON to ``/faults``. Each call that it runs is printed
on standard output before its work starts. The ports are those that
``host_addresses`` names.
"""

import signal
import sys
import time

import defopt
import msgspec
import trio

from boragetrestle_kernel.errors import DialError, HttpError
from boragetrestle_kernel.network import TcpNetwork
from boragetrestle_standin.host_addresses import HostAddresses
from boragetrestle_standin.host_plan import HostPlan, OnwardCall
from boragetrestle_standin.run_line import RUN_LINE_PREFIX, RunLine
from boragetrestle_standin.target import StandinTarget

_POLL_SECONDS = 0.2
_DRAIN_SECONDS = 2.0


def run_target(
    ip: str,
    service: str,
    *,
    slots: int = 50,
    connections: int = 400,
    work: float = 0.0,
    body_bytes: int = 512,
    onward: list[str] | None = None,
) -> None:
    """Serve calls until SIGTERM, which drains the target first.

    :param ip: address of the host, without a port
    :param service: the service that the target announces
    :param slots: calls that it declares to run at once
    :param connections: connections that it declares to accept
    :param work: seconds that each call takes
    :param body_bytes: size of each answer
    :param onward: paths that it calls with GET for each call
    """
    plan = HostPlan(
        service=service,
        slots=slots,
        connections=connections,
        work=work,
        body=b'x' * body_bytes,
        onward=tuple(OnwardCall('GET', path) for path in onward or ()),
    )
    target = StandinTarget(TcpNetwork(), HostAddresses.of_host(ip), plan)
    target.on_run = _print_run_line
    trio.run(_serve, target)


def _print_run_line(path: str) -> None:
    line = RunLine(path=path, at=time.time())
    sys.stdout.write(f'{RUN_LINE_PREFIX}{msgspec.json.encode(line).decode()}\n')
    sys.stdout.flush()


async def _serve(target: StandinTarget) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(target.run)
            await _announce(target, 'ready')
            await anext(signals)
            with trio.move_on_after(_DRAIN_SECONDS):
                await _announce(target, 'draining')
            await trio.sleep(_DRAIN_SECONDS)
            while target.running:
                await trio.sleep(_POLL_SECONDS)
            with trio.move_on_after(_DRAIN_SECONDS):
                await _announce(target, 'gone')
            nursery.cancel_scope.cancel()


async def _announce(target: StandinTarget, state: str) -> None:
    """Announce the state; retry until the node accepts it."""
    while True:
        try:
            await target.announce(state)
        except (DialError, HttpError):
            await trio.sleep(_POLL_SECONDS)
        else:
            return


if __name__ == '__main__':
    defopt.run(run_target)
