"""Send a call on to a target and its answer back to the caller."""

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.context import HEADER
from boragetrestle_kernel.errors import DialError
from boragetrestle_kernel.http_fields import Fields, end_to_end
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_node.attempt import Attempt
from boragetrestle_node.connection_pool import ConnectionPool
from boragetrestle_node.exchange import Exchange

__all__ = ('Attempt', 'Forwarder')

REMAINING = b'boragetrestle-remaining'

_STRIPPED = frozenset((
    b'authorization',
    b'expect',
    b'host',
    HEADER,
    REMAINING,
))
_VIA = (b'via', b'1.1 boragetrestle')


class Forwarder:
    """Forward calls on kept connections."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool

    async def forward(
        self,
        address: Address,
        request: HttpRequest,
        connection: HttpServerConnection,
        *,
        context: bytes,
        call_id: str,
        remaining: float,
        is_guarded: bool = False,
    ) -> Attempt:
        """Send a request to an address and its answer to the caller.

        ``remaining`` are the seconds that the call may still take. Only the
        answer of a guarded hop, another node, may claim how a call ended.
        """
        fields = request_fields(request, address, context, remaining)
        try:
            upstream = await self.pool.acquire(address)
        except DialError:
            return Attempt.NOT_SENT
        exchange = Exchange(
            upstream,
            request,
            connection,
            call_id=call_id,
            is_guarded=is_guarded,
        )
        try:
            return await exchange.run(fields)
        finally:
            if not self.pool.keep(address, upstream):
                with trio.CancelScope(shield=True):
                    await self.pool.discard(upstream)


def request_fields(
    request: HttpRequest,
    address: Address,
    context: bytes,
    remaining: float,
) -> Fields:
    """Return the fields for the target: no key, a signed context."""
    kept = [
        pair for pair in end_to_end(request.fields) if pair[0] not in _STRIPPED
    ]
    return [
        (b'host', str(address).encode()),
        *kept,
        _VIA,
        (REMAINING, b'%.3f' % max(0, remaining)),
        (HEADER, context),
    ]
