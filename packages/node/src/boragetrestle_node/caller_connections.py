"""The open connections of callers, bounded in all and by organisation."""

import traceback
from collections import Counter
from functools import partial

import trio
from eliot import log_message

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.http_limits import DEFAULT_LIMITS, HttpLimits
from boragetrestle_kernel.http_server import (
    HttpServerConnection,
    RequestHandler,
)
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_kernel.settings import ConnectionLimits

_RETRY_SECONDS = 1.0
_POLL_SECONDS = 0.02


class CallerConnections:
    """Accept connections and count them.

    A connection belongs to the organisation of its newest call.
    """

    def __init__(
        self,
        network: Network,
        *,
        bounds: ConnectionLimits,
        limits: HttpLimits = DEFAULT_LIMITS,
    ) -> None:
        self.network = network
        self.bounds = bounds
        self.limits = limits
        self.open: set[HttpServerConnection] = set()
        self.by_owner: Counter[str] = Counter()
        self.is_finishing = False
        self.faults = 0
        self.accepting = trio.CancelScope()

    async def serve(
        self,
        address: Address,
        handler: RequestHandler,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve connections until ``close`` is called and they have ended."""
        listener = await self.network.listen(address)
        async with trio.open_nursery() as nursery:
            task_status.started()
            with self.accepting:
                await trio.serve_listeners(
                    partial(self._serve, handler),
                    [listener],
                    handler_nursery=nursery,
                )
            with trio.CancelScope(shield=True):
                await listener.aclose()

    def claim(
        self,
        connection: HttpServerConnection,
        organisation: str,
    ) -> None:
        """Count a connection for an organisation.

        Raises ``RefusedError`` if the organisation holds too many.
        """
        if connection.owner == organisation:
            return
        if self.by_owner[organisation] >= self.bounds.per_organisation:
            raise RefusedError(_refusal())
        self._disown(connection)
        connection.owner = organisation
        self.by_owner[organisation] += 1

    def finish(self) -> None:
        """Let each connection close after its next answer."""
        self.is_finishing = True
        for connection in self.open:
            connection.close_after_exchange()

    async def close(self, *, timeout: float) -> None:
        """Accept no more, close idle connections and wait for the others."""
        self.finish()
        self.accepting.cancel()
        with trio.move_on_after(timeout):
            while self.open:
                for connection in self.open:
                    connection.close_if_idle()
                await trio.sleep(_POLL_SECONDS)

    async def _serve(
        self,
        handler: RequestHandler,
        stream: trio.abc.Stream,
    ) -> None:
        connection = HttpServerConnection(
            stream,
            limits=self.limits,
            peer_host=self._host_of(stream),
        )
        if self.is_finishing:
            connection.close_after_exchange()
        if len(self.open) >= self.bounds.total:
            connection.close_after_exchange()
            handler = _refuse_connection
        watch = self.network.watch(stream, connection.handle_caller_close)
        self.open.add(connection)
        try:
            await connection.serve(handler)
        except Exception as error:
            # One call must not end the node, whatever it meets.
            self._record_fault(error)
        finally:
            watch.cancel()
            self.open.discard(connection)
            self._disown(connection)

    def _record_fault(self, error: Exception) -> None:
        self.faults += 1
        log_message(
            message_type='connection:fault',
            fault=''.join(traceback.format_exception(error)),
        )

    def _host_of(self, stream: trio.abc.Stream) -> str:
        try:
            return self.network.host_of(stream)
        except OSError:
            return ''

    def _disown(self, connection: HttpServerConnection) -> None:
        if not connection.owner:
            return
        self.by_owner[connection.owner] -= 1
        if not self.by_owner[connection.owner]:
            self.by_owner.pop(connection.owner)
        connection.owner = ''


async def _refuse_connection(
    _request: object,
    connection: HttpServerConnection,
) -> None:
    refusal = _refusal()
    await connection.answer(
        refusal.status,
        refusal.headers(),
        refusal.body(),
    )


def _refusal() -> Refusal:
    return Refusal(
        RefusalCode.TOO_MANY_CONNECTIONS,
        retry_after=_RETRY_SECONDS,
    )
