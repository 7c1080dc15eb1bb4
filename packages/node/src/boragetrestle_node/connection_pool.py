"""Kept connections to targets."""

from collections import defaultdict

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.network import Network

_MAX_IDLE = 64


class ConnectionPool:
    """Keep idle connections by address; the newest is used first."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.idle: defaultdict[Address, list[HttpClientConnection]] = (
            defaultdict(list)
        )

    async def acquire(
        self,
        address: Address,
    ) -> tuple[HttpClientConnection, bool]:
        """Return a connection and whether it was kept from an earlier call.

        Raises ``DialError`` where nothing listens.
        """
        kept = self.idle[address]
        if kept:
            return kept.pop(), True
        stream = await self.network.dial(address)
        return HttpClientConnection(stream), False

    async def release(
        self,
        address: Address,
        connection: HttpClientConnection,
    ) -> None:
        """Keep a connection whose exchange ended whole; close any other."""
        kept = self.idle[address]
        if connection.is_reusable and len(kept) < _MAX_IDLE:
            connection.start_next()
            kept.append(connection)
        else:
            await connection.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        for kept in self.idle.values():
            while kept:
                await kept.pop().aclose()
