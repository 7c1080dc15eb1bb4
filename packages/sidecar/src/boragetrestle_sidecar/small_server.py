"""Serve small calls: readiness, heartbeats, metrics."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, cast

from boragetrestle_kernel.errors import CallerError
from boragetrestle_sidecar.answer_head import phrase_of
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.request_reader import RequestReader

_BODY_BYTES = 65536  # the settings of the largest report are a tenth of it
LIMITS = CallerLimits(body_bytes=_BODY_BYTES)


class SmallAnswer(NamedTuple):
    """An answer to a small call."""

    status: int
    body: bytes = b''
    content_type: bytes = b'application/json'


SmallHandler = Callable[[CallerRequest], SmallAnswer]


class SmallConnection(asyncio.Protocol):
    """Answer each call at once."""

    def __init__(self, handler: SmallHandler) -> None:
        self.handler = handler
        self.reader = RequestReader(LIMITS)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the connection."""
        self.transport = cast('asyncio.Transport', transport)

    def data_received(self, received: bytes) -> None:
        """Answer the calls that are whole."""
        assert self.transport is not None
        try:
            self.reader.feed(received)
        except CallerError:
            self._write(SmallAnswer(HTTPStatus.BAD_REQUEST), keeps_open=False)
            return
        while self.reader.ready and not self.transport.is_closing():
            request = self.reader.ready.popleft()
            self._write(
                self.handler(request),
                keeps_open=request.keeps_open,
            )

    def _write(self, answer: SmallAnswer, *, keeps_open: bool) -> None:
        assert self.transport is not None
        lines = [
            b'HTTP/1.1 %d %s' % (answer.status, phrase_of(answer.status)),
            b'content-type: %s' % answer.content_type,
            b'content-length: %d' % len(answer.body),
        ]
        if not keeps_open:
            lines.append(b'connection: close')
        self.transport.write(b'\r\n'.join((*lines, b'', answer.body)))
        if not keeps_open:
            self.transport.close()
