"""A minimal HTTP server for a node's own endpoints.

These are readiness, the heartbeats of its target, metrics and explanations of
routes.
"""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple, cast

from boragetrestle_kernel.errors import CallerError
from boragetrestle_sidecar.answer_head import reason_phrase
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.failure_trace import failure_trace
from boragetrestle_sidecar.request_reader import RequestReader

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog

_MAX_BODY_BYTES = 65536  # ten times the largest report of a target
LIMITS = CallerLimits(body_bytes=_MAX_BODY_BYTES)


class EndpointAnswer(NamedTuple):
    """An answer of an endpoint."""

    status: int
    body: bytes = b''
    content_type: bytes = b'application/json'


EndpointHandler = Callable[
    [CallerRequest], EndpointAnswer | Awaitable[EndpointAnswer]
]


class EndpointConnection(asyncio.Protocol):
    """Answer requests in their order from a handler.

    Requests wait while the other end does not take the answers before, and
    while the handler waits for the answer to an earlier one.
    """

    def __init__(self, handler: EndpointHandler, log: 'DecisionLog') -> None:
        self.handler = handler
        self.log = log
        self.is_paused = False
        self.task: asyncio.Task[None] | None = None
        self.reader = RequestReader(LIMITS)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for answers."""
        self.transport = cast('asyncio.Transport', transport)

    def pause_writing(self) -> None:
        """Answer no more until the answers before have been taken."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Answer the requests that have waited, and read on."""
        self.is_paused = False
        self._continue()

    def data_received(self, received: bytes) -> None:
        """Answer the requests that are complete; close on a malformed one."""
        assert self.transport is not None
        try:
            self.reader.feed(received)
        except CallerError:
            self._write(
                EndpointAnswer(HTTPStatus.BAD_REQUEST), keeps_open=False
            )
            return
        self._answer_ready()

    def _continue(self) -> None:
        assert self.transport is not None
        self._answer_ready()
        if not self.is_paused and self.task is None:
            self.transport.resume_reading()

    def _answer_ready(self) -> None:
        assert self.transport is not None
        while self.reader.ready and not self.transport.is_closing():
            if self.is_paused or self.task is not None:
                self.transport.pause_reading()
                return
            request = self.reader.ready.popleft()
            answer = self._handle(request)
            if isinstance(answer, EndpointAnswer):
                self._write(answer, keeps_open=request.keeps_open)
            else:
                self.task = asyncio.get_running_loop().create_task(
                    self._answer_later(request, answer)
                )

    async def _answer_later(
        self,
        request: CallerRequest,
        waits: Awaitable[EndpointAnswer],
    ) -> None:
        try:
            answer = await waits
        except Exception as error:
            answer = self._failure(request, error)
        self.task = None
        assert self.transport is not None
        if self.transport.is_closing():
            return
        self._write(answer, keeps_open=request.keeps_open)
        self._continue()

    def _handle(
        self,
        request: CallerRequest,
    ) -> EndpointAnswer | Awaitable[EndpointAnswer]:
        """Return the answer to a request; a fault is its own answer."""
        try:
            return self.handler(request)
        except Exception as error:
            return self._failure(request, error)

    def _failure(
        self,
        request: CallerRequest,
        error: Exception,
    ) -> EndpointAnswer:
        self.log.write_limited(
            'endpoint-failed',
            path=request.path,
            error=repr(error),
            trace=failure_trace(error),
        )
        return EndpointAnswer(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _write(self, answer: EndpointAnswer, *, keeps_open: bool) -> None:
        assert self.transport is not None
        lines = [
            b'HTTP/1.1 %d %s' % (answer.status, reason_phrase(answer.status)),
            b'content-type: %s' % answer.content_type,
            b'content-length: %d' % len(answer.body),
        ]
        if not keeps_open:
            lines.append(b'connection: close')
        self.transport.write(b'\r\n'.join((*lines, b'', answer.body)))
        if not keeps_open:
            self.transport.close()
