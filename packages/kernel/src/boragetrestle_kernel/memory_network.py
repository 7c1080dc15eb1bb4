"""A simulated network with delays, refusals, losses and frozen hosts.

It needs no sockets and can run on a virtual clock.
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

_BACKLOG_CONNECTIONS = 1024


class _MemorySocket:
    """The part of the socket interface that servers use of a listener."""

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
            _BACKLOG_CONNECTIONS,
        )
        self.pending = send
        self._receive = receive

    async def accept(self) -> trio.abc.Stream:
        """Return the next connection."""
        try:
            return await self._receive.receive()
        except trio.EndOfChannel as error:
            raise trio.ClosedResourceError from error

    async def aclose(self) -> None:
        """Stop accepting connections and free the address."""
        self.network.listeners.pop(self.socket.address, None)
        self._receive.close()
        self.pending.close()
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

    ``delay`` is the latency in seconds of each direction. ``is_cut`` tells for
    a dialing host and an address whether connections are refused. ``faults``
    holds the faults that stall streams without an error.
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
        """Connect to an address; raise ``DialError`` if that fails.

        Waits while a fault stalls the path between the two hosts.
        """
        await self._simulate_handshake(dialer, address.host)
        listener = self.listeners.get(address)
        if listener is None or self.is_cut(dialer, address):
            raise DialError(
                f'no connection to {address}',
                remedy='start a listener at this address',
            )
        near, far = connect_hosts(dialer, address.host, self.faults)
        try:
            listener.pending.send_nowait(far)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise DialError(f'{address} is closing') from error
        self.links.append(Link(dialer, address, (near, far)))
        return near

    async def listen(
        self,
        address: Address,
    ) -> trio.abc.Listener[trio.abc.Stream]:
        """Start accepting connections at an address."""
        await trio.lowlevel.checkpoint()
        if address in self.listeners:
            raise DialError(
                f'{address} is in use',
                remedy='choose another address',
            )
        listener = MemoryListener(self, address)
        self.listeners[address] = listener
        return listener

    def watch(
        self,
        stream: trio.abc.Stream,
        on_hang_up: HangUpCallback,
    ) -> MemoryWatch:
        """Call ``on_hang_up`` once when the peer closes its side."""
        assert isinstance(stream, MemoryStream)
        return MemoryWatch(stream.incoming, on_hang_up)

    def host_of(self, stream: trio.abc.Stream) -> str:
        """Return the host that dialed an accepted stream."""
        assert isinstance(stream, MemoryStream)
        return stream.incoming.source

    async def cut(self, is_cut: Callable[[str, Address], bool]) -> None:
        """Drop and from now on refuse connections that ``is_cut`` matches."""
        self.is_cut = is_cut
        dropped = [
            candidate
            for candidate in self.links
            if is_cut(candidate.dialer, candidate.address)
        ]
        self.links = [
            candidate for candidate in self.links if candidate not in dropped
        ]
        for link in dropped:
            for end in link.ends:
                await trio.aclose_forcefully(end)

    async def _simulate_handshake(self, near: str, far: str) -> None:
        faults = self.faults
        await faults.wait_until_passable(near, far)
        await trio.sleep(faults.delay_of(near, far))
        await faults.wait_until_passable(far, near)
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
        """Start accepting connections at an address."""
        return await self.network.listen(address)

    def watch(
        self,
        stream: trio.abc.Stream,
        on_hang_up: HangUpCallback,
    ) -> MemoryWatch:
        """Call ``on_hang_up`` once when the peer closes its side."""
        return self.network.watch(stream, on_hang_up)

    def host_of(self, stream: trio.abc.Stream) -> str:
        """Return the host that dialed an accepted stream."""
        return self.network.host_of(stream)
