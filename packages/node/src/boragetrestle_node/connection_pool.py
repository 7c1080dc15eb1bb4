"""Kept connections to targets."""

from collections import defaultdict

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.network import Network

DIAL_SECONDS = 0.5

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
        return await self._dial(address), False

    def count_idle(self, address: Address) -> int:
        """Return how many idle connections to an address are kept."""
        return len(self.idle[address])

    async def open(self, address: Address) -> None:
        """Open one more idle connection; raise ``DialError`` if it fails."""
        self.idle[address].insert(0, await self._dial(address))

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

    async def _dial(self, address: Address) -> HttpClientConnection:
        try:
            with trio.fail_after(DIAL_SECONDS):
                return HttpClientConnection(await self.network.dial(address))
        except trio.TooSlowError as error:
            raise DialError(
                f'no connection to {address} in {DIAL_SECONDS} s',
                remedy='check that the host is up',
            ) from error

    async def aclose(self) -> None:
        """Close all idle connections."""
        for kept in self.idle.values():
            while kept:
                await kept.pop().aclose()
