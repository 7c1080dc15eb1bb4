"""Kept connections to targets."""

from collections import defaultdict, deque
from typing import NamedTuple

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.network import Network, WatchHandle

DIAL_SECONDS = 0.5

_MAX_IDLE = 64
_IDLE_SECONDS = 60.0


class _Idle(NamedTuple):
    connection: HttpClientConnection
    since: float


class ConnectionPool:
    """Keep idle connections by address; the newest is used first."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.watches: dict[HttpClientConnection, WatchHandle] = {}
        self.idle: defaultdict[Address, deque[_Idle]] = defaultdict(deque)

    async def acquire(self, address: Address) -> HttpClientConnection:
        """Return a connection that no other exchange uses.

        Kept connections that the server closed, or on which it sent bytes
        unasked, are passed over. Raises ``DialError`` where nothing listens.
        """
        kept = self.idle[address]
        while kept:
            connection = kept.pop().connection
            if not connection.is_stale():
                return connection
            await self.discard(connection)
        return await self._dial(address)

    def count_idle(self, address: Address) -> int:
        """Return how many idle connections to an address are kept."""
        return len(self.idle[address])

    async def open(self, address: Address) -> None:
        """Open one more idle connection; raise ``DialError`` if it fails."""
        connection = await self._dial(address)
        opened = _Idle(connection, trio.current_time())
        self.idle[address].appendleft(opened)

    def keep(self, address: Address, connection: HttpClientConnection) -> bool:
        """Keep a connection whose exchange ended whole.

        Returns whether it was kept; any other must be discarded.
        """
        kept = self.idle[address]
        if not connection.is_reusable or len(kept) >= _MAX_IDLE:
            return False
        connection.start_next()
        kept.append(_Idle(connection, trio.current_time()))
        return True

    async def discard(self, connection: HttpClientConnection) -> None:
        """Close a connection."""
        watch = self.watches.pop(connection, None)
        if watch is not None:
            watch.cancel()
        await connection.aclose()

    async def close_idle(self, *, older_than: float = _IDLE_SECONDS) -> None:
        """Close connections that were idle for some seconds."""
        latest = trio.current_time() - older_than
        for address, kept in list(self.idle.items()):
            while kept and kept[0].since <= latest:
                await self.discard(kept.popleft().connection)
            if not kept:
                self.idle.pop(address, None)

    async def _dial(self, address: Address) -> HttpClientConnection:
        try:
            with trio.fail_after(DIAL_SECONDS):
                stream = await self.network.dial(address)
        except trio.TooSlowError as error:
            raise DialError(
                f'no connection to {address} in {DIAL_SECONDS} s',
                remedy='check that the host is up',
            ) from error
        connection = HttpClientConnection(stream)
        self.watches[connection] = self.network.watch(
            stream,
            connection.mark_closed_by_peer,
        )
        return connection

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.close_idle(older_than=0)
