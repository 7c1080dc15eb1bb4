"""Send a call on to a target and its answer back to the caller."""

from enum import Enum

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.context import HEADER
from boragetrestle_kernel.errors import DialError, HttpError
from boragetrestle_kernel.http_client import HttpClientConnection, HttpResponse
from boragetrestle_kernel.http_fields import Fields, end_to_end
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_node.connection_pool import ConnectionPool

_STRIPPED = frozenset((b'authorization', b'host', HEADER))
_CALL_ID = b'boragetrestle-call'


class Attempt(Enum):
    """How one attempt to forward a call ended."""

    ANSWERED = 'answered'
    NOT_SENT = 'not-sent'
    NO_ANSWER = 'no-answer'
    CUT = 'cut'


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
    ) -> Attempt:
        """Send a request to an address and its answer to the caller."""
        fields = request_fields(request, address, context)
        try:
            upstream, _ = await self.pool.acquire(address)
        except DialError:
            return Attempt.NOT_SENT
        try:
            return await self._exchange(
                upstream,
                request,
                connection,
                fields,
                call_id,
            )
        finally:
            with trio.CancelScope(shield=True):
                await self.pool.release(address, upstream)

    async def _exchange(
        self,
        upstream: HttpClientConnection,
        request: HttpRequest,
        connection: HttpServerConnection,
        fields: Fields,
        call_id: str,
    ) -> Attempt:
        try:
            response = await _send_request(upstream, request, fields)
        except HttpError:
            return Attempt.NO_ANSWER
        answer = [
            *end_to_end(response.fields),
            (_CALL_ID, call_id.encode()),
        ]
        await connection.send_head(response.status, answer)
        try:
            await _copy_body(response, connection)
        except HttpError:
            await connection.aclose()
            return Attempt.CUT
        await connection.send_end()
        return Attempt.ANSWERED


def request_fields(
    request: HttpRequest,
    address: Address,
    context: bytes,
) -> Fields:
    """Return the fields for the target: no key, a signed context."""
    kept = [
        pair for pair in end_to_end(request.fields) if pair[0] not in _STRIPPED
    ]
    return [
        (b'host', str(address).encode()),
        *kept,
        (HEADER, context),
    ]


async def _send_request(
    upstream: HttpClientConnection,
    request: HttpRequest,
    fields: Fields,
) -> HttpResponse:
    if request.field(b'transfer-encoding'):
        fields = [*fields, (b'transfer-encoding', b'chunked')]
    await upstream.send_head(request.method, request.target, fields)
    async for chunk in request.chunks():
        await upstream.send_data(chunk)
    await upstream.send_end()
    return await upstream.receive_head()


async def _copy_body(
    response: HttpResponse,
    connection: HttpServerConnection,
) -> None:
    async for chunk in response.chunks():
        await connection.send_data(chunk)
