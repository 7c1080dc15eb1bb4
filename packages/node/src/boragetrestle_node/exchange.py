"""One exchange with a target: a request out and its answer back."""

from collections.abc import Callable
from http import HTTPStatus

import h11
import trio

from boragetrestle_kernel.errors import CallerError, HttpError
from boragetrestle_kernel.http_client import HttpClientConnection, HttpResponse
from boragetrestle_kernel.http_fields import (
    INTERNAL_PREFIX,
    Fields,
    drop_hop_by_hop,
    select_safe_trailers,
)
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    parse_retry_after,
    says_not_run,
)
from boragetrestle_node.attempt import Attempt, Forwarded
from boragetrestle_node.replayable_body import ReplayableBody

CALL_ID = b'boragetrestle-call'

_CHUNKED = (b'transfer-encoding', b'chunked')
_MAX_DROPPED_BYTES = 65_536

TakeBack = Callable[[int], bool]


def pass_on(_status: int) -> bool:
    """Take no answer back."""
    return False


class Exchange:
    """Copy a request to a target and its answer to the caller.

    At most one received piece of each direction is held in memory. A body that
    is still arriving is sent while the answer comes back, so a target may answer
    before it has the whole request.
    """

    def __init__(
        self,
        upstream: HttpClientConnection,
        request: HttpRequest,
        connection: HttpServerConnection,
        *,
        call_id: str,
        body: ReplayableBody,
        is_guarded: bool,
        take_back: TakeBack,
        extra: Fields,
    ) -> None:
        self.upstream = upstream
        self.request = request
        self.connection = connection
        self.call_id = call_id
        self.body = body
        self.is_guarded = is_guarded
        self.take_back = take_back
        self.extra = extra
        self.caller_error: CallerError | None = None

    async def run(self, fields: Fields) -> Forwarded:
        """Send the request with some fields and copy the answer.

        Raises ``CallerError`` if the caller breaks the exchange.
        """
        request = self.request
        if request.field(b'transfer-encoding'):
            fields = [*fields, _CHUNKED]
        try:
            self.upstream.queue_head(request.method, request.target, fields)
            if request.is_whole:
                await self._queue_rest()
            await self.upstream.flush()
        except HttpError:
            return Forwarded(Attempt.NO_ANSWER)
        if request.is_whole:
            return await self._copy_answer()
        return await self._run_both_ways()

    async def _run_both_ways(self) -> Forwarded:
        forwarded = Forwarded(Attempt.NO_ANSWER)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_body, nursery.cancel_scope)
            try:
                forwarded = await self._copy_answer()
            except CallerError as error:
                self.caller_error = error
            nursery.cancel_scope.cancel()
        if self.caller_error is not None:
            raise self.caller_error
        return forwarded

    async def _send_body(self, scope: trio.CancelScope) -> None:
        try:
            async for part in self.body.chunks():
                await self.upstream.send_data(part)
            await self.upstream.send_end(self._request_trailers())
        except CallerError as error:
            self.caller_error = error
            scope.cancel()
        except HttpError:
            # The target may have answered before it stopped reading.
            return

    async def _queue_rest(self) -> None:
        """Queue a body that has arrived whole."""
        if self.request.buffered_body:
            async for part in self.body.chunks():
                self.upstream.queue_data(part)
        self.upstream.queue_end(self._request_trailers())

    async def _copy_answer(self) -> Forwarded:
        try:
            response = await self.upstream.receive_head(self._pass_interim)
        except HttpError:
            return Forwarded(Attempt.NO_ANSWER)
        status, fields = response.status, response.fields
        refusal = _read_refusal(response, is_guarded=self.is_guarded)
        if refusal is not None:
            await _drop_rest(response)
            return Forwarded(Attempt.REFUSED, refusal, status, fields)
        if self.take_back(status):
            await _drop_rest(response)
            return Forwarded(Attempt.TAKEN_BACK, None, status, fields)
        attempt = await self._pass_answer(response)
        return Forwarded(attempt, None, status, fields)

    async def _pass_answer(self, response: HttpResponse) -> Attempt:
        fields = without_internal(response.fields) + self.extra
        fields.append((CALL_ID, self.call_id.encode()))
        self.connection.queue_head(response.status, fields)
        try:
            await self._copy_body(response)
        except HttpError:
            await self.connection.aclose()
            return Attempt.CUT
        self.connection.queue_end(select_safe_trailers(response.trailers))
        await self.connection.flush()
        return Attempt.ANSWERED

    async def _copy_body(self, response: HttpResponse) -> None:
        while True:
            for part in response.ready_parts():
                self.connection.queue_data(part)
            if response.is_whole:
                return
            await self.connection.flush()
            await self.upstream.receive_bytes()

    def _pass_interim(self, head: h11.InformationalResponse) -> None:
        if head.status_code != HTTPStatus.CONTINUE:
            fields = without_internal(list(head.headers))
            self.connection.queue_head(head.status_code, fields)

    def _request_trailers(self) -> Fields:
        return select_safe_trailers(self.request.trailers)


def without_internal(fields: Fields) -> Fields:
    """Drop hop-by-hop fields and those that only nodes may set.

    >>> without_internal([(b'boragetrestle-run', b'not-run'), (b'etag', b'1')])
    [(b'etag', b'1')]
    """
    return [
        pair
        for pair in drop_hop_by_hop(fields)
        if not pair[0].startswith(INTERNAL_PREFIX)
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
            retry_after=parse_retry_after(response.fields),
        )
    return None


async def _drop_rest(response: HttpResponse) -> None:
    """Read the rest of a small answer, so that its connection is kept."""
    dropped = 0
    try:
        async for part in response.chunks():
            dropped += len(part)
            if dropped > _MAX_DROPPED_BYTES:
                return
    except HttpError:
        return
