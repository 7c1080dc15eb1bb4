"""Accept the connections of callers, up to the last one."""

import asyncio
import socket
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_sidecar.decision_log import DecisionLog

LISTEN_BACKLOG = 1024  # after a restart all callers connect at once


class CallerListener:
    """The listening socket of callers.

    The kernel resets connections that wait to be accepted when their listening
    socket closes, and the event loop accepts once a round. So ``close`` accepts
    those that have been made since then.
    """

    def __init__(
        self,
        factory: Callable[[], asyncio.Protocol],
        log: 'DecisionLog',
    ) -> None:
        self.factory = factory
        self.log = log
        self.server: asyncio.Server | None = None

    async def open(self, address: 'Address') -> asyncio.Server:
        """Listen at an address and return the event loop's server."""
        self.server = await asyncio.get_running_loop().create_server(
            self.factory,
            address.host,
            address.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        return self.server

    async def close(self) -> None:
        """Accept the connections that have been made, and no others."""
        if self.server is None:
            return
        copies = [opened.dup() for opened in self.server.sockets]
        self.server.close()
        accepted: list[socket.socket] = []
        for copy in copies:
            with copy:
                accepted += self._accept_waiting(copy)
        loop = asyncio.get_running_loop()
        for opened in accepted:
            await loop.connect_accepted_socket(self.factory, opened)

    def _accept_waiting(
        self, listening: socket.socket
    ) -> Iterator[socket.socket]:
        try:
            while True:
                yield listening.accept()[0]
        except BlockingIOError:
            return  # none is left
        except OSError as error:
            self.log.write_unlimited('callers-not-accepted', error=str(error))
