"""An in-memory network with delays, cuts, losses and frozen hosts.

The network needs no sockets and runs on a virtual clock.
"""

import socket
from collections.abc import Callable
from typing import NamedTuple

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError
from boragetrestle_kernel.hang_up import HangUpCallback
from boragetrestle_kernel.memory_stream import (
    MemoryStream,
    MemoryWatch,
    connect_hosts,
)
from boragetrestle_kernel.network_faults import NetworkFaults

_QUEUE_CONNECTIONS = 1024


class _MemorySocket:
    """The part of a socket that servers ask of a listener."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.family = socket.AF_INET

    def getsockname(self) -> tuple[str, int]:
        """Return the host and the port."""
        return (self.address.host, self.address.port)


class MemoryListener(trio.abc.Listener[trio.abc.Stream]):
    """Accept connections that ``MemoryNetwork.dial`` opens."""

    def __init__(self, network: 'MemoryNetwork', address: Address) -> None:
        self.network = network
        self.socket = _MemorySocket(address)
        send, receive = trio.open_memory_channel[trio.abc.Stream](
            _QUEUE_CONNECTIONS,
        )
        self.arrivals = send
        self._receive = receive

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection."""
        try:
            return await self._receive.receive()
        except trio.EndOfChannel as error:
            raise trio.ClosedResourceError from error

    async def aclose(self) -> None:
        """Stop accepting."""
        self.network.listeners.pop(self.socket.address, None)
        self._receive.close()
        self.arrivals.close()
        await trio.lowlevel.checkpoint()


class Link(NamedTuple):
    """Both ends of one connection, with the hosts that it joins."""

    dialer: str
    address: Address
    ends: tuple[trio.abc.Stream, trio.abc.Stream]


def _never_cut(_dialer: str, _address: Address) -> bool:
    return False


class MemoryNetwork:
    """Connect addresses inside one process.

    ``delay`` is the time in seconds that bytes take one way. ``is_cut`` tells
    for a dialing host and an address whether connections are refused; ``faults``
    holds the softer faults, which stall streams without an error.
    """

    def __init__(self, *, delay: float = 0) -> None:
        self.faults = NetworkFaults(delay=delay)
        self.listeners: dict[Address, MemoryListener] = {}
        self.links: list[Link] = []
        self.is_cut: Callable[[str, Address], bool] = _never_cut

    async def dial(
        self,
        address: Address,
        *,
        dialer: str = '',
    ) -> trio.abc.Stream:
        """Connect to an address; raise ``DialError`` where none listens.

        On a stalled path this waits until the path is whole.
        """
        await self._handshake(dialer, address.host)
        listener = self.listeners.get(address)
        if listener is None or self.is_cut(dialer, address):
            raise DialError(
                f'no connection to {address}',
                remedy='start a listener at this address',
            )
        near, far = connect_hosts(dialer, address.host, self.faults)
        try:
            listener.arrivals.send_nowait(far)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise DialError(f'{address} is closing') from error
        self.links.append(Link(dialer, address, (near, far)))
        return near

    async def listen(
        self,
        address: Address,
    ) -> trio.abc.Listener[trio.abc.Stream]:
        """Start to accept connections at an address."""
        await trio.lowlevel.checkpoint()
        if address in self.listeners:
            raise DialError(f'{address} is in use', remedy='choose another')
        listener = MemoryListener(self, address)
        self.listeners[address] = listener
        return listener

    def watch(
        self,
        stream: trio.abc.Stream,
        on_hang_up: HangUpCallback,
    ) -> MemoryWatch:
        """Call back once when the peer of a stream closes its side."""
        assert isinstance(stream, MemoryStream)
        return MemoryWatch(stream.incoming, on_hang_up)

    def host_of(self, stream: trio.abc.Stream) -> str:
        """Return the host that dialed an accepted stream."""
        assert isinstance(stream, MemoryStream)
        return stream.incoming.source

    async def cut(self, is_cut: Callable[[str, Address], bool]) -> None:
        """Drop present and refuse future connections for which it holds."""
        self.is_cut = is_cut
        broken = [lk for lk in self.links if is_cut(lk.dialer, lk.address)]
        self.links = [lk for lk in self.links if lk not in broken]
        for link in broken:
            for end in link.ends:
                await trio.aclose_forcefully(end)

    async def _handshake(self, near: str, far: str) -> None:
        faults = self.faults
        await faults.passable(near, far)
        await trio.sleep(faults.delay_of(near, far))
        await faults.passable(far, near)
        await trio.sleep(faults.delay_of(far, near))


class HostNetwork:
    """The in-memory network as seen from one host."""

    def __init__(self, network: MemoryNetwork, host: str) -> None:
        self.network = network
        self.host = host

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Connect from this host to an address."""
        return await self.network.dial(address, dialer=self.host)

    async def listen(
        self,
        address: Address,
    ) -> trio.abc.Listener[trio.abc.Stream]:
        """Start to accept connections at an address."""
        return await self.network.listen(address)

    def watch(
        self,
        stream: trio.abc.Stream,
        on_hang_up: HangUpCallback,
    ) -> MemoryWatch:
        """Call back once when the peer of a stream closes its side."""
        return self.network.watch(stream, on_hang_up)

    def host_of(self, stream: trio.abc.Stream) -> str:
        """Return the host that dialed an accepted stream."""
        return self.network.host_of(stream)
