"""Dial and listen, over TCP or in memory.

The node uses only this interface, so that the same code runs over sockets and,
in tests, on a virtual clock without sockets.
"""

from typing import Protocol

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError, SettingsError
from boragetrestle_kernel.hang_up import HangUpCallback, HangUpWatch

_BACKLOG_CONNECTIONS = 1024


class WatchHandle(Protocol):
    """A watched stream."""

    def cancel(self) -> None:
        """Stop to watch."""


class Network(Protocol):
    """A way to reach addresses and to be reached."""

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Connect to an address; raise ``DialError`` where none listens."""

    async def listen(
        self, address: Address
    ) -> trio.abc.Listener[trio.abc.Stream]:
        """Start to accept connections at an address."""

    def watch(
        self,
        stream: trio.abc.Stream,
        on_hang_up: HangUpCallback,
    ) -> WatchHandle:
        """Call back once when the peer of a stream closes its side."""

    def host_of(self, stream: trio.abc.Stream) -> str:
        """Return the IP address of the peer of an accepted stream."""


class TcpNetwork:
    """Reach addresses over TCP."""

    def __init__(self) -> None:
        self.hang_ups = HangUpWatch()

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
        try:
            listeners = await trio.open_tcp_listeners(
                address.port,
                host=address.host,
                backlog=_BACKLOG_CONNECTIONS,
            )
        except OSError as error:
            raise SettingsError(
                f'no listener at {address}: {error}',
                remedy='free this address or set another one in the settings',
            ) from error
        return listeners[0]

    def watch(
        self,
        stream: trio.abc.Stream,
        on_hang_up: HangUpCallback,
    ) -> WatchHandle:
        """Call back once when the peer of a stream closes its side."""
        assert isinstance(stream, trio.SocketStream)
        return self.hang_ups.add(stream.socket.fileno(), on_hang_up)

    def host_of(self, stream: trio.abc.Stream) -> str:
        """Return the IP address of the peer of an accepted stream."""
        assert isinstance(stream, trio.SocketStream)
        return str(stream.socket.getpeername()[0])
