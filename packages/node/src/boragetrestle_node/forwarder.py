"""Send a call on to a target and its answer back to the caller."""

from collections.abc import Callable
from http import HTTPStatus

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.context import HEADER
from boragetrestle_kernel.errors import DialError, HttpError
from boragetrestle_kernel.http_client import HttpClientConnection, HttpResponse
from boragetrestle_kernel.http_fields import Fields, end_to_end
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    read_retry_after,
    says_not_run,
)
from boragetrestle_node.attempt import Attempt, Forwarded
from boragetrestle_node.connection_pool import ConnectionPool
from boragetrestle_node.replayable_body import ReplayableBody

_STRIPPED = frozenset((b'authorization', b'host'))
_INTERNAL_PREFIX = b'boragetrestle-'
_CALL_ID = b'boragetrestle-call'

TakeBack = Callable[[int], bool]


def _pass_on(_status: int) -> bool:
    return False


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
        body: ReplayableBody,
        is_guarded: bool = False,
        take_back: TakeBack = _pass_on,
        extra: Fields | None = None,
    ) -> Forwarded:
        """Send a request to an address and its answer to the caller.

        ``take_back`` gets the status of an answer before any of it goes on
        and tells whether to keep it from the caller. ``extra`` fields go with
        the answer.

        ``is_guarded`` tells that the address is the guard of a target, whose
        refusals are believed; a target is believed only where it sheds a call.
        """
        fields = request_fields(request, address, context)
        try:
            upstream, _ = await self.pool.acquire(address)
        except DialError:
            return Forwarded(Attempt.NOT_SENT)
        try:
            return await self._exchange(
                upstream,
                request,
                connection,
                fields,
                call_id=call_id,
                body=body,
                is_guarded=is_guarded,
                take_back=take_back,
                extra=extra or [],
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
        *,
        call_id: str,
        body: ReplayableBody,
        is_guarded: bool,
        take_back: TakeBack,
        extra: Fields,
    ) -> Forwarded:
        try:
            response = await _send_request(upstream, request, fields, body)
        except HttpError:
            if body.is_broken:
                raise
            return Forwarded(Attempt.NO_ANSWER)
        refusal = _read_refusal(response, is_guarded=is_guarded)
        status, received = response.status, response.fields
        if refusal is not None:
            await _read_rest(response)
            return Forwarded(Attempt.REFUSED, refusal, status, received)
        if take_back(status):
            await _read_rest(response)
            return Forwarded(Attempt.TAKEN_BACK, None, status, received)
        answer = [
            *without_internal(received),
            *extra,
            (_CALL_ID, call_id.encode()),
        ]
        await connection.send_head(status, answer)
        try:
            await _copy_body(response, connection)
        except HttpError:
            await connection.aclose()
            return Forwarded(Attempt.CUT, None, status, received)
        await connection.send_end()
        return Forwarded(Attempt.ANSWERED, None, status, received)


def request_fields(
    request: HttpRequest,
    address: Address,
    context: bytes,
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
        (HEADER, context),
    ]


def without_internal(fields: Fields) -> Fields:
    """Drop hop-by-hop fields and those that only nodes may set.

    >>> without_internal([(b'boragetrestle-run', b'not-run'), (b'etag', b'1')])
    [(b'etag', b'1')]
    """
    return [
        pair
        for pair in end_to_end(fields)
        if not pair[0].startswith(_INTERNAL_PREFIX)
    ]


def _read_refusal(
    response: HttpResponse,
    *,
    is_guarded: bool,
) -> Refusal | None:
    if is_guarded:
        return Refusal.from_fields(response.fields)
    is_shed = response.status == HTTPStatus.SERVICE_UNAVAILABLE
    if is_shed and says_not_run(response.fields):
        return Refusal(
            RefusalCode.OVERLOADED,
            retry_after=read_retry_after(response.fields),
        )
    return None


async def _read_rest(response: HttpResponse) -> None:
    try:
        await response.read()
    except HttpError:
        return


async def _send_request(
    upstream: HttpClientConnection,
    request: HttpRequest,
    fields: Fields,
    body: ReplayableBody,
) -> HttpResponse:
    if request.field(b'transfer-encoding'):
        fields = [*fields, (b'transfer-encoding', b'chunked')]
    await upstream.send_head(request.method, request.target, fields)
    async for chunk in body.chunks():
        if not await _send_chunk(upstream, chunk):
            return await upstream.receive_head()
    await upstream.send_end()
    return await upstream.receive_head()


async def _send_chunk(upstream: HttpClientConnection, chunk: bytes) -> bool:
    """Return whether the other side still takes the request body.

    One that refuses a call early may close before the body has ended; its
    answer can still be read.
    """
    try:
        await upstream.send_data(chunk)
    except HttpError:
        return False
    return True


async def _copy_body(
    response: HttpResponse,
    connection: HttpServerConnection,
) -> None:
    async for chunk in response.chunks():
        await connection.send_data(chunk)
