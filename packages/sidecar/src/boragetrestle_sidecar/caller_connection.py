"""Serve the HTTP requests of one caller's connection."""

import asyncio
from typing import TYPE_CHECKING, cast

from boragetrestle_kernel.errors import (
    BodyTooLargeError,
    CallerError,
    HeadTooLargeError,
)
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.outcome import Reason
from boragetrestle_sidecar.refusal_answer import refusal_bytes
from boragetrestle_sidecar.request_reader import RequestReader
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.caller_request import CallerRequest
    from boragetrestle_sidecar.entry import Entry
    from boragetrestle_sidecar.entry_request import EntryRequest

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_MAX_PIPELINED = 4  # requests read ahead of the one being answered
_ERROR_REASONS: dict[type[CallerError], Reason] = {
    BodyTooLargeError: Reason.TOO_LARGE,
    HeadTooLargeError: Reason.HEAD_TOO_LARGE,
}


class CallerConnection(asyncio.Protocol):
    """Read requests and write their answers, one after the other."""

    def __init__(self, entry: 'Entry') -> None:
        self.entry = entry
        configuration = entry.configuration
        limits = configuration.limits if configuration else CallerLimits()
        self.reader = RequestReader(limits)
        self.transport: asyncio.Transport | None = None
        self.current_request: EntryRequest | None = None
        self.current_keeps_open = True
        self.is_busy = False
        self.is_closing = False
        self.last_used_at = steady_now()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is open."""
        self.transport = cast('asyncio.Transport', transport)
        self.entry.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected."""
        self.entry.connections.discard(self)
        self.is_closing = True
        if self.current_request is not None:
            self.entry.abandon(self.current_request)
            self.current_request = None

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnect."""
        return False

    def data_received(self, received: bytes) -> None:
        """Parse requests; start the next one if none is being answered."""
        if self.is_closing:
            return
        self.last_used_at = steady_now()
        try:
            self.reader.feed(received)
        except CallerError as error:
            self._reject_input(error)
            return
        if self.reader.awaits_continue and not self.is_busy:
            self.reader.awaits_continue = False
            self._write(_CONTINUE)
        if not self.is_busy:
            self._start_next()
        elif len(self.reader.ready) >= _MAX_PIPELINED:
            assert self.transport is not None
            self.transport.pause_reading()

    def write_answer(self, head: bytes, body: bytes) -> None:
        """Write an answer; ``head`` lacks the empty line at its end."""
        if self._keeps_open():
            self._write(b'%s\r\n%s' % (head, body))
        else:
            self._write(b'%sconnection: close\r\n\r\n%s' % (head, body))
        self._end_answer()

    def write_refusal(
        self,
        reason: Reason,
        *,
        retry_after: float = 0.0,
        may_have_run: bool = False,
    ) -> None:
        """Write a refusal that this node generates."""
        self._write(
            refusal_bytes(
                reason,
                retry_after=retry_after,
                may_have_run=may_have_run,
                keeps_open=self._keeps_open(),
            )
        )
        self._end_answer()

    def close_if_idle(self, now: float, idle_seconds: float) -> None:
        """Close a connection that has been idle for too long."""
        if not self.is_busy and now - self.last_used_at > idle_seconds:
            self.close()

    def close(self) -> None:
        """Close once everything written has been sent."""
        self.is_closing = True
        if self.transport is not None:
            self.transport.close()

    def _keeps_open(self) -> bool:
        return self.current_keeps_open and not self.entry.is_stopping

    def _start_next(self) -> None:
        while self.reader.ready and not self.is_busy and not self.is_closing:
            request = self.reader.ready.popleft()
            self._start(request)

    def _start(self, request: 'CallerRequest') -> None:
        self.is_busy = True
        self.current_keeps_open = request.keeps_open
        self.current_request = self.entry.start_request(self, request)

    def _end_answer(self) -> None:
        keeps_open = self._keeps_open()
        self.is_busy = False
        self.current_request = None
        self.last_used_at = steady_now()
        if not keeps_open:
            self.close()
        elif self.reader.ready:
            assert self.transport is not None
            self.transport.resume_reading()
            asyncio.get_running_loop().call_soon(self._start_next)

    def _reject_input(self, error: CallerError) -> None:
        reason = _ERROR_REASONS.get(type(error), Reason.MALFORMED)
        self.entry.log.write_limited(
            'caller-bytes-refused',
            reason=reason.value,
            error=str(error),
        )
        if not self.is_busy:
            self._write(refusal_bytes(reason, keeps_open=False))
        self.close()

    def _write(self, sent: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(sent)
