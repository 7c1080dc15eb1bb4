"""Make HTTP calls to one server over kept connections."""

import asyncio
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_sidecar.server_connection import Loss, ServerConnection
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_sidecar.target_answer import TargetAnswer

CONNECT_SECONDS = 1.0  # some round trips to the store, with one loss


class HttpCaller:
    """Call one server; each call has a connection to itself."""

    def __init__(self, address: 'Address') -> None:
        self.address = address
        self.idle: list[ServerConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        wait: float,
    ) -> 'TargetAnswer':
        """Return the answer to a call.

        Raises ``StoreError`` when the server was not reached and
        ``OutcomeUnknownError`` when no answer came within ``wait`` seconds.
        """
        connection = await self._take()
        waiter = _Waiter()
        head = (
            f'{method} {path} HTTP/1.1\r\n'
            f'Host: {self.address}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        connection.exchange(head.encode() + body, waiter)
        try:
            async with asyncio.timeout(wait):
                answer = await waiter.ended
        except TimeoutError as error:
            raise OutcomeUnknownError(
                f'{self.address} did not answer {method} in {wait:g} s',
                remedy='look whether the store can be reached',
            ) from error
        finally:
            if not waiter.ended.done() or waiter.ended.cancelled():
                connection.close()
        if connection.is_usable:
            self.idle.append(connection)
        return answer

    async def _take(self) -> ServerConnection:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_fresh(steady_now()):
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _transport, connection = await loop.create_connection(
                    ServerConnection,
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError) as error:
            raise StoreError(
                f'{self.address} accepts no connection: {error!r}',
                remedy='look whether the store can be reached',
            ) from error
        return connection


class _Waiter:
    """Turn the end of an exchange into a future."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[TargetAnswer] = loop.create_future()

    def answered(self, answer: 'TargetAnswer') -> None:
        """Take the whole answer."""
        if not self.ended.done():
            self.ended.set_result(answer)

    def lost(self, loss: Loss) -> None:
        """Learn that no answer will come."""
        if not self.ended.done():
            self.ended.set_exception(
                OutcomeUnknownError(
                    f'the connection ended without an answer ({loss.value})',
                    remedy='look whether the store can be reached',
                )
            )
