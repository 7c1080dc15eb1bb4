"""Open and accept connections, over TCP or in memory.

A node (the process beside a target) uses only this interface, so that the same
code runs over sockets and, in tests, on a virtual clock without sockets.
"""

from typing import Protocol

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError, SettingsError
from boragetrestle_kernel.hang_up import HangUpCallback, HangUpWatcher

_BACKLOG_CONNECTIONS = 1024


class WatchHandle(Protocol):
    """A stream whose close by its peer is reported to a callback."""

    def cancel(self) -> None:
        """Stop watching; the callback is not called any more."""


class Network(Protocol):
    """Open connections to addresses and accept connections."""

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Connect to an address; raise ``DialError`` if that fails."""

    async def listen(
        self, address: Address
    ) -> trio.abc.Listener[trio.abc.Stream]:
        """Start accepting connections at an address."""

    def watch(
        self,
        stream: trio.abc.Stream,
        on_hang_up: HangUpCallback,
    ) -> WatchHandle:
        """Call ``on_hang_up`` once when the peer closes its side."""

    def host_of(self, stream: trio.abc.Stream) -> str:
        """Return the IP address of the peer of an accepted stream."""


class TcpNetwork:
    """Connect and listen over TCP."""

    def __init__(self) -> None:
        self.hang_up_watcher = HangUpWatcher()

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Connect to an address; raise ``DialError`` if that fails."""
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
        """Start accepting connections at an address."""
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
        """Call ``on_hang_up`` once when the peer closes its side."""
        assert isinstance(stream, trio.SocketStream)
        return self.hang_up_watcher.add(stream.socket.fileno(), on_hang_up)

    def host_of(self, stream: trio.abc.Stream) -> str:
        """Return the IP address of the peer of an accepted stream."""
        assert isinstance(stream, trio.SocketStream)
        return str(stream.socket.getpeername()[0])
