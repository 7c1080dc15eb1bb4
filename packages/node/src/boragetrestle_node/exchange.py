"""One exchange with a target: a request out and its answer back."""

from http import HTTPStatus

import h11
import trio

from boragetrestle_kernel.errors import CallerError, HttpError
from boragetrestle_kernel.http_client import HttpClientConnection, HttpResponse
from boragetrestle_kernel.http_fields import (
    Fields,
    end_to_end,
    passable_trailers,
)
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_node.attempt import Attempt

CALL_ID = b'boragetrestle-call'

_CLAIMS = frozenset((CALL_ID, b'boragetrestle-code', b'boragetrestle-run'))
_CHUNKED = (b'transfer-encoding', b'chunked')


class Exchange:
    """Copy a request to a target and its answer to the caller.

    At most one received piece of each direction is held in memory. A body that
    is still arriving is sent while the answer comes back, so a target may answer
    before it has the whole request.

    Raises ``CallerError`` if the caller breaks the exchange.
    """

    def __init__(
        self,
        upstream: HttpClientConnection,
        request: HttpRequest,
        connection: HttpServerConnection,
        *,
        call_id: str,
        is_guarded: bool,
    ) -> None:
        self.upstream = upstream
        self.request = request
        self.connection = connection
        self.call_id = call_id
        self.is_guarded = is_guarded
        self.caller_error: CallerError | None = None

    async def run(self, fields: Fields) -> Attempt:
        """Send the request with some fields and copy the answer."""
        request = self.request
        if request.field(b'transfer-encoding'):
            fields = [*fields, _CHUNKED]
        try:
            self.upstream.queue_head(request.method, request.target, fields)
            if request.is_whole:
                self._queue_rest()
            await self.upstream.flush()
        except HttpError:
            return Attempt.NO_ANSWER
        if request.is_whole:
            return await self._copy_answer()
        return await self._run_both_ways()

    async def _run_both_ways(self) -> Attempt:
        attempt = Attempt.NO_ANSWER
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_body, nursery.cancel_scope)
            try:
                attempt = await self._copy_answer()
            except CallerError as error:
                self.caller_error = error
            nursery.cancel_scope.cancel()
        if self.caller_error is not None:
            raise self.caller_error
        return attempt

    async def _send_body(self, scope: trio.CancelScope) -> None:
        try:
            async for part in self.request.chunks():
                await self.upstream.send_data(part)
            self.upstream.queue_end(self._request_trailers())
            await self.upstream.flush()
        except CallerError as error:
            self.caller_error = error
            scope.cancel()
        except HttpError:
            # The target may have answered before it stopped reading.
            return

    async def _copy_answer(self) -> Attempt:
        try:
            response = await self.upstream.receive_head(self._pass_interim)
        except HttpError:
            return Attempt.NO_ANSWER
        self._queue_answer_head(response)
        try:
            await self._copy_body(response)
        except HttpError:
            await self.connection.aclose()
            return Attempt.CUT
        self.connection.queue_end(passable_trailers(response.trailers))
        await self.connection.flush()
        return Attempt.ANSWERED

    async def _copy_body(self, response: HttpResponse) -> None:
        while True:
            for part in response.ready_parts():
                self.connection.queue_data(part)
            if response.is_whole:
                return
            await self.connection.flush()
            await self.upstream.receive()

    def _queue_answer_head(self, response: HttpResponse) -> None:
        fields = end_to_end(response.fields)
        if not self.is_guarded:
            fields = [pair for pair in fields if pair[0] not in _CLAIMS]
        fields.append((CALL_ID, self.call_id.encode()))
        self.connection.queue_head(response.status, fields)

    def _pass_interim(self, head: h11.InformationalResponse) -> None:
        if head.status_code != HTTPStatus.CONTINUE:
            self.connection.queue_head(head.status_code, list(head.headers))

    def _queue_rest(self) -> None:
        if self.request.kept:
            self.upstream.queue_data(self.request.kept)
        self.upstream.queue_end(self._request_trailers())

    def _request_trailers(self) -> Fields:
        return passable_trailers(self.request.trailers)
