"""Send a call on to a target and its answer back to the caller."""

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.context import HEADER
from boragetrestle_kernel.errors import DialError
from boragetrestle_kernel.http_fields import Fields
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_node.attempt import Attempt, Forwarded
from boragetrestle_node.connection_pool import ConnectionPool
from boragetrestle_node.exchange import (
    Exchange,
    TakeBack,
    pass_on,
    without_internal,
)
from boragetrestle_node.replayable_body import ReplayableBody

REMAINING = b'boragetrestle-remaining'

_STRIPPED = frozenset((b'authorization', b'expect', b'host'))
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
        body: ReplayableBody,
        is_guarded: bool = False,
        take_back: TakeBack = pass_on,
        extra: Fields | None = None,
    ) -> Forwarded:
        """Send a request to an address and its answer to the caller.

        ``remaining`` are the seconds that the call may still take.

        ``take_back`` gets the status of an answer before any of it goes on
        and tells whether to keep it from the caller. ``extra`` fields go with
        the answer.

        ``is_guarded`` tells that the address is the guard of a target, whose
        refusals are believed; a target is believed only where it sheds a call.
        """
        fields = request_fields(request, address, context, remaining)
        try:
            upstream = await self.pool.acquire(address)
        except DialError:
            return Forwarded(Attempt.NOT_SENT)
        exchange = Exchange(
            upstream,
            request,
            connection,
            call_id=call_id,
            body=body,
            is_guarded=is_guarded,
            take_back=take_back,
            extra=extra or [],
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
        pair
        for pair in without_internal(request.fields)
        if pair[0] not in _STRIPPED
    ]
    return [
        (b'host', str(address).encode()),
        *kept,
        _VIA,
        (REMAINING, b'%.3f' % max(0, remaining)),
        (HEADER, context),
    ]
