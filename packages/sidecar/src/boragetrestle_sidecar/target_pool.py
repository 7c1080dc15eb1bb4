"""Pool the connections from a guard to its target."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from boragetrestle_sidecar.link_socket import set_keepalive
from boragetrestle_sidecar.server_connection import ServerConnection
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_kernel.ids import RequestId
    from boragetrestle_sidecar.answer_buffers import AnswerBuffers

CONNECT_SECONDS = 0.5  # same host: 1 ms is usual
# A request that must not run twice gets a connection that has been idle for at
# most this long, since a target may drop an idle connection without closing it
# and reset what is sent on it.
MAX_UNREPEATABLE_IDLE_SECONDS = 0.3


class TargetPool:
    """Idle connections, the most recently used first.

    ``on_emptied`` is called when the target ends the last one before its time.
    """

    def __init__(
        self,
        address: 'Address',
        *,
        id_header: bytes,
        buffers: 'AnswerBuffers',
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.clock = clock
        self.address = address
        self.id_header = id_header
        self.idle: list[ServerConnection] = []
        self.opened = 0
        self.buffers = buffers
        self.on_emptied: Callable[[], None] | None = None

    def acquire(
        self,
        now: float,
        request_id: 'RequestId',
        *,
        recent: bool,
    ) -> ServerConnection | None:
        """Take an idle connection that the target should still keep open.

        One on which the target has refused the same id is not taken.
        """
        within = MAX_UNREPEATABLE_IDLE_SECONDS if recent else None
        while self.idle:
            connection = self.idle[-1]
            if connection.is_fresh(now, within=within):
                if request_id in connection.refused_ids:
                    return self._acquire_other(now, request_id, within)
                return self.idle.pop()
            if recent and connection.is_fresh(now):
                return None
            self.idle.pop().close()
        return None

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool for a later run."""
        if connection.is_usable:
            self.idle.append(connection)

    async def open(self) -> ServerConnection:
        """Open a connection; raise ``OSError`` or ``TimeoutError``."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_SECONDS):
            transport, connection = await loop.create_connection(
                self._new_connection,
                self.address.host,
                self.address.port,
            )
        set_keepalive(transport)
        self.opened += 1
        return connection

    def close_stale(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        kept = [each for each in self.idle if each.is_fresh(now)]
        for connection in self.idle:
            if connection not in kept:
                connection.close()
        self.idle = kept

    def drop_lost(self, connection: ServerConnection) -> None:
        """Drop an idle connection that the target has ended."""
        if connection not in self.idle:
            return
        self.idle.remove(connection)
        is_early = connection.is_within_timeout(self.clock())
        if is_early and not self.idle and self.on_emptied is not None:
            self.on_emptied()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def _acquire_other(
        self,
        now: float,
        request_id: 'RequestId',
        within: float | None,
    ) -> ServerConnection | None:
        for connection in reversed(self.idle):
            is_fresh = connection.is_fresh(now, within=within)
            if is_fresh and request_id not in connection.refused_ids:
                self.idle.remove(connection)
                return connection
        return None

    def _new_connection(self) -> ServerConnection:
        connection = ServerConnection(
            id_header=self.id_header,
            buffers=self.buffers,
            clock=self.clock,
        )
        connection.on_idle_lost = self.drop_lost
        return connection
