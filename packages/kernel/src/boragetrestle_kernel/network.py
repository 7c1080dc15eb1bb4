"""Dial and listen, over TCP or in memory.

The node uses only this interface, so that the same code runs over sockets and,
in tests, on a virtual clock without sockets.
"""

from typing import Protocol

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError

_BACKLOG_CONNECTIONS = 1024


class Network(Protocol):
    """A way to reach addresses and to be reached."""

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Connect to an address; raise ``DialError`` where none listens."""

    async def listen(
        self, address: Address
    ) -> trio.abc.Listener[trio.abc.Stream]:
        """Start to accept connections at an address."""


class TcpNetwork:
    """Reach addresses over TCP."""

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Connect to an address; raise ``DialError`` where none listens."""
        try:
            return await trio.open_tcp_stream(
                address.host,
                address.port,
                happy_eyeballs_delay=None,
            )
        except OSError as error:
            raise DialError(
                f'no connection to {address}: {error}',
                remedy='check that the process there is running',
            ) from error

    async def listen(
        self,
        address: Address,
    ) -> trio.abc.Listener[trio.abc.Stream]:
        """Start to accept connections at an address."""
        listeners = await trio.open_tcp_listeners(
            address.port,
            host=address.host,
            backlog=_BACKLOG_CONNECTIONS,
        )
        return listeners[0]
