"""The command ``boragetrestle-node``."""

import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import defopt
import trio
from eliot import to_file

import boragetrestle_platform.http_platform  # noqa: F401
from boragetrestle_kernel.errors import BoragetrestleError
from boragetrestle_kernel.network import TcpNetwork
from boragetrestle_kernel.settings import NodeSettings, parse_settings
from boragetrestle_node.node import Node
from boragetrestle_platform.platform import connect_platform

_REFUSED = 3


def run_node(settings: Path) -> None:
    """Run one node until it gets SIGTERM or SIGINT.

    :param settings: JSON file with the settings of the node
    """
    parsed = parse_settings(settings.read_bytes())
    to_file(sys.stderr)
    trio.run(_run, parsed)


async def _run(settings: NodeSettings) -> None:
    network = TcpNetwork()
    platform = connect_platform(settings.platform, network)
    node = Node(settings, network=network, platform=platform)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(node.run)
            await anext(signals)
            await _stop(node, signals)
            nursery.cancel_scope.cancel()


async def _stop(node: Node, signals: AsyncIterator[int]) -> None:
    """Stop gracefully, or at once on a second signal."""
    async with trio.open_nursery() as nursery:

        async def watch_signals() -> None:
            await anext(signals)
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch_signals)
        await node.stop()
        nursery.cancel_scope.cancel()


def run_program(arguments: list[str]) -> int:
    """Run the command line and return its exit code.

    It is 0 after a graceful stop and 3 for settings that are refused; the
    parser of the command line exits with 2.
    """
    exit_code = 0
    try:
        defopt.run(run_node, argv=arguments)
    except* (BoragetrestleError, OSError) as group:
        for error in _leaves(group):
            sys.stderr.write(f'boragetrestle-node: {error}\n')
        exit_code = _REFUSED
    return exit_code


def main() -> None:
    """Run the command line."""
    sys.exit(run_program(sys.argv[1:]))


def _leaves(group: BaseExceptionGroup[Exception]) -> list[Exception]:
    found: list[Exception] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found.extend(_leaves(error))
        else:
            found.append(error)
    return found
