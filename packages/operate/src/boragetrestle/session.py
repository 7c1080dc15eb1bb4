"""Access of a command to the platform and the nodes."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import trio

import boragetrestle_platform.http_platform  # noqa: F401
from boragetrestle.in_force import AckClient
from boragetrestle.node_admin import NodeAdmin
from boragetrestle.operator import Operator
from boragetrestle.operator_settings import load_settings
from boragetrestle_kernel.network import Network, TcpNetwork
from boragetrestle_platform.platform import connect_platform

_Result = TypeVar('_Result')


class Session(NamedTuple):
    """An operator with access to the platform and to the nodes."""

    operator: Operator
    network: Network
    admin: NodeAdmin

    @property
    def ack_client(self) -> AckClient:
        """Asks nodes whether a version is in force."""
        return AckClient(self.operator, self.network)


def run_session(
    work: Callable[[Session], Awaitable[_Result]],
) -> _Result:
    """Run a function with a session by the settings of the environment."""

    async def run() -> _Result:
        return await work(open_session())

    return trio.run(run)


def open_session() -> Session:
    """Open a session by the settings that the environment names."""
    settings = load_settings()
    network = TcpNetwork()
    platform = connect_platform(settings.platform, network)
    credential = settings.operator_credential
    return Session(
        operator=Operator(platform, name=settings.operator),
        network=network,
        admin=NodeAdmin(network, credential.resolve() if credential else b''),
    )
