"""Make HTTP calls to one server over pooled connections."""

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_sidecar.answer_buffers import AnswerBuffers
from boragetrestle_sidecar.answer_reader import MAX_ANSWER_BYTES
from boragetrestle_sidecar.link_socket import set_keepalive
from boragetrestle_sidecar.server_connection import Loss, ServerConnection
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_sidecar.target_answer import TargetAnswer

# Some round trips to the store, with a lost packet.
CONNECT_TIMEOUT_SECONDS = 1.0


class HttpCaller:
    """Call one server; a connection carries one call at a time.

    What its unfinished answers hold together is bounded by one of the largest
    size.
    """

    def __init__(self, address: 'Address') -> None:
        self.address = address
        self.idle_connections: list[ServerConnection] = []
        self.buffers = AnswerBuffers(MAX_ANSWER_BYTES)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        wait: float,
    ) -> 'TargetAnswer':
        """Send a request and return the answer.

        Raises ``StoreError`` when no connection could be opened and
        ``OutcomeUnknownError`` when no answer came within ``wait`` seconds or
        the connection ended before it.
        """
        connection = await self._acquire_connection()
        pending = _PendingAnswer()
        head = (
            f'{method} {path} HTTP/1.1\r\n'
            f'Host: {self.address}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        connection.exchange(head.encode() + body, pending)
        try:
            async with asyncio.timeout(wait):
                answer = await pending.answer_future
        except TimeoutError as error:
            self._close_idle()
            raise OutcomeUnknownError(
                f'{self.address} did not answer {method} in {wait:g} s',
                remedy='check that the store is reachable and not overloaded',
            ) from error
        except OutcomeUnknownError:
            self._close_idle()
            raise
        finally:
            if (
                not pending.answer_future.done()
                or pending.answer_future.cancelled()
            ):
                connection.close()
        if connection.is_usable:
            self.idle_connections.append(connection)
        return answer

    async def _acquire_connection(self) -> ServerConnection:
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.is_fresh(steady_now()):
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                transport, connection = await loop.create_connection(
                    partial(ServerConnection, buffers=self.buffers),
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError) as error:
            raise StoreError(
                f'no connection to the store at {self.address}: {error!r}',
                remedy='check that the store runs and is reachable from here',
            ) from error
        set_keepalive(transport)
        return connection

    def _close_idle(self) -> None:
        """Close the idle connections after one has failed.

        What silenced or closed one connection has usually met the others too,
        and each would cost the time until that is noticed.
        """
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections.clear()


class _PendingAnswer:
    """Complete a future with the answer of an exchange or its failure."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.answer_future: asyncio.Future[TargetAnswer] = loop.create_future()

    def answered(self, answer: 'TargetAnswer') -> None:
        """Complete the future with the whole answer."""
        if not self.answer_future.done():
            self.answer_future.set_result(answer)

    def lost(self, loss: Loss) -> None:
        """Fail the future: no answer will come."""
        if not self.answer_future.done():
            self.answer_future.set_exception(
                OutcomeUnknownError(
                    'the connection to the store ended before the answer '
                    f'was complete ({loss.value})',
                    remedy='check that the store is reachable from here',
                )
            )
