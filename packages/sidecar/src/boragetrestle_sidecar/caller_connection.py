"""Serve the HTTP requests of one caller's connection."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

from boragetrestle_kernel.errors import (
    BodyTooLargeError,
    CallerError,
    HeadTooLargeError,
)
from boragetrestle_sidecar.body_budget import BodyClaim
from boragetrestle_sidecar.caller_departure import has_departed
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.close_reason import ANNOUNCED_CLOSES, CloseReason
from boragetrestle_sidecar.failure_trace import failure_trace
from boragetrestle_sidecar.link_socket import (
    unacknowledged_bytes,
    unread_bytes,
)
from boragetrestle_sidecar.outcome import Reason
from boragetrestle_sidecar.pending_answer import PendingAnswer
from boragetrestle_sidecar.refusal_answer import refusal_bytes
from boragetrestle_sidecar.request_reader import RequestReader
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.entry import Entry

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Requests of one connection that run at the same time, and requests that are
# read ahead of these.
MAX_CONCURRENT_REQUESTS = 8
MAX_READ_AHEAD = 4
# No further request starts while answers that wait for an earlier one hold
# this much.
MAX_HELD_ANSWER_BYTES = 1_000_000
# What a caller has sent before it saw the close arrives within this time. One
# that sends a body may read its refusal only when it has sent all of it.
LINGER_SECONDS = 1.0
BODY_LINGER_SECONDS = 3.0
IDLE_MARGIN_SECONDS = 1.0  # callers reuse connections up to their idle limit
# A caller on a poor network takes something of an answer within this.
MAX_STALLED_ANSWER_SECONDS = 10.0
_ERROR_REASONS: dict[type[CallerError], Reason] = {
    BodyTooLargeError: Reason.TOO_LARGE,
    HeadTooLargeError: Reason.HEAD_TOO_LARGE,
}
_REJECTION_CLOSES = {
    Reason.BODY_STALLED: CloseReason.STALLED,
    Reason.MEMORY_FULL: CloseReason.MEMORY_FULL,
    Reason.STOPPING: CloseReason.LAST_ANSWER,
}
_RETRY_AFTER_SECONDS = {
    Reason.MEMORY_FULL: 1.0,  # a large upload takes as long
    Reason.STOPPING: 0.4,  # callers move to another node at once
}


class CallerConnection(asyncio.Protocol):
    """Read requests and write their answers in the order of the requests.

    Requests that a caller sends before the first is answered run at the same
    time if they may be repeated. A caller sends again whatever it sent behind
    an answer that closes the connection, so others start only when all before
    them are answered, and nothing starts behind them.
    """

    def __init__(self, entry: 'Entry') -> None:
        self.entry = entry
        configuration = entry.configuration
        limits = configuration.limits if configuration else CallerLimits()
        self.reader = RequestReader(limits)
        self.transport: asyncio.Transport | None = None
        self.pending: deque[PendingAnswer] = deque()
        self.rejection: Reason | None = None
        self.holds_bodies = False
        self.is_starting = False
        self.is_closing = False
        self.is_read_paused = False
        self.is_write_paused = False
        self.read_paused_at: float | None = None
        self.last_used_at = steady_now()
        self.idle_seconds = limits.idle_seconds
        self.unsent_before = 0
        self.unsent_since = self.last_used_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is open."""
        self.transport = cast('asyncio.Transport', transport)
        self.transport.set_write_buffer_limits(MAX_HELD_ANSWER_BYTES)
        self.entry.connections.add(self)

    def pause_writing(self) -> None:
        """Start no more requests of a caller that reads no answers."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Start the requests that waited for the caller to read."""
        self.entry.answers.record_writer(self)
        self.is_write_paused = False
        self._go_on()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests of a caller that has disconnected."""
        self.entry.connections.discard(self)
        self.entry.answers.writers.discard(self)
        self.entry.bodies.forget(self)
        self.is_closing = True
        self._abandon_pending()

    def _abandon_pending(self) -> None:
        pending = list(self.pending)
        self.pending.clear()
        for answer in pending:
            if answer.request is not None:
                self.entry.abandon(answer.request)

    def close_if_departed(self) -> None:
        """Close a connection that is not read if its caller has left it."""
        transport = self.transport
        if not self.is_read_paused or transport is None:
            return
        if not transport.is_closing() and has_departed(transport):
            transport.close()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnect."""
        return False

    def data_received(self, received: bytes) -> None:
        """Parse requests; start those that need not wait."""
        if self.is_closing or self.rejection is not None:
            return
        self._note_use()
        try:
            self.reader.feed(received)
        except CallerError as error:
            self._reject_input(error)
        self._start_next()
        self._continue_or_close()
        if self._has_read_enough:
            self.pause_body()
        self._record_bodies()

    def pause_body(self) -> None:
        """Read no more from the caller."""
        self.is_read_paused = True
        self._note_read_pause()
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_body(self) -> None:
        """Read on after a wait for memory, which took of the caller's time."""
        self.reader.waited_seconds += self._paused_seconds(steady_now())
        self.read_paused_at = None
        self._read_on()

    def _note_read_pause(self) -> None:
        if self.read_paused_at is None:
            self.read_paused_at = steady_now()

    def _paused_seconds(self, now: float) -> float:
        """Return for how long the caller could not send."""
        return now - (self.read_paused_at or now)

    def refuse_waiting_body(self, now: float) -> None:
        """Refuse a body that has waited for memory too long to be run in time."""
        if not self.reader.is_amid_request or self.rejection is not None:
            return
        longest = self.entry.body_wait_seconds(self.reader.unfinished_request)
        waited = self.reader.waited_seconds + self._paused_seconds(now)
        if waited > longest:
            self.rejection = Reason.MEMORY_FULL
            self._continue_or_close()

    def check_progress(self, now: float, limits: CallerLimits) -> None:
        """Close the connection if it is idle, or its caller stalls."""
        self.close_if_idle(now, limits.idle_seconds)
        self.give_up_stalled_body(now, limits.header_seconds)
        self.give_up_stalled_answers(now)

    def give_up_stalled_body(self, now: float, longest: float) -> None:
        """Refuse a body that stalls while others wait for its memory.

        One whose caller has no time left is refused, too: some bytes now and
        then would keep its claim.
        """
        if not self.reader.unfinished_bytes or self.rejection is not None:
            return
        bodies = self.entry.bodies
        if bodies.paused and self not in bodies.paused:
            is_silent = now - self.last_used_at > longest
            if is_silent or self._is_body_late(now):
                self.rejection = Reason.BODY_STALLED
                self._continue_or_close()

    def _is_body_late(self, now: float) -> bool:
        longest = self.entry.body_read_seconds(self.reader.unfinished_request)
        return now - self.reader.began_at > longest

    def give_up_stalled_answers(self, now: float) -> None:
        """Close if the caller takes nothing while others need the memory."""
        unsent = self.unsent_bytes
        if unsent != self.unsent_before:
            self.unsent_before = unsent
            self.unsent_since = now
        elif unsent and now - self.unsent_since > MAX_STALLED_ANSWER_SECONDS:
            if self.entry.answers.is_scarce:
                self.abort(CloseReason.UNTAKEN)

    def close_if_idle(self, now: float, idle_seconds: float) -> None:
        """Close a connection that has been idle for too long.

        It is not idle while a request waits or runs, or its caller has not
        taken an answer. A request that stops midway is refused. A limit that
        has become shorter holds from the next use of the connection.
        """
        if self.is_closing or self in self.entry.bodies.paused:
            return
        if self._has_open_work:
            self.last_used_at = now
            return
        longest = max(idle_seconds, self.idle_seconds) + IDLE_MARGIN_SECONDS
        if now - self.last_used_at <= longest:
            return
        if self.reader.is_amid_request and self.rejection is None:
            self.rejection = Reason.BODY_STALLED
            self._continue_or_close()
        else:
            self.close(CloseReason.IDLE)

    def finish_stop(self, *, reads_on: bool = False) -> None:
        """Refuse what has been read of further requests, then close.

        The entry has refused those that waited or ran. With ``reads_on`` a
        connection on which more has come stays open until that is read.
        """
        self._start_next()
        if self.reader.is_amid_request and self.rejection is None:
            self.rejection = Reason.STOPPING
        self._continue_or_close()
        if not (reads_on and self.has_unread):
            self.close(CloseReason.STOP)

    def close(self, reason: CloseReason) -> None:
        """Close once everything written has been sent.

        Behind an answer that has announced the close, what the caller still
        sends is read and dropped for a while: a socket that is closed with
        unread bytes is reset, and its answers are lost. In other cases it is
        left unread, so that the caller knows that it can send it again.
        """
        if self.is_closing:
            return
        self._record_close(reason)
        self.is_closing = True
        self.reader = RequestReader(self.reader.limits)  # frees what it holds
        self.entry.bodies.forget(self)
        transport = self.transport
        if transport is None:
            return
        if reason not in ANNOUNCED_CLOSES or not transport.can_write_eof():
            transport.close()
            return
        try:
            transport.write_eof()
        except OSError:
            transport.abort()  # the caller has reset the connection
            return
        transport.resume_reading()
        is_last = reason is CloseReason.LAST_ANSWER
        self._linger(LINGER_SECONDS if is_last else BODY_LINGER_SECONDS)

    def _linger(self, seconds: float, untaken_before: int = 0) -> None:
        asyncio.get_running_loop().call_later(
            seconds, self._end_linger, untaken_before
        )

    def _end_linger(self, untaken_before: int) -> None:
        """Close, or wait on while the caller takes its answers."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        untaken = self.untaken_bytes
        if transport.get_write_buffer_size():
            self._linger(LINGER_SECONDS)
        elif untaken and untaken != untaken_before:
            self._linger(BODY_LINGER_SECONDS, untaken)
        else:
            transport.close()

    def _close_failed(self, error: Exception) -> None:
        """Send the answers before the one that failed, and cancel the rest.

        The event loop would drop what is not sent yet if a callback raised the
        exception.
        """
        self.entry.log.write_limited(
            'caller-connection-failed',
            error=repr(error),
            trace=failure_trace(error),
        )
        self.close(CloseReason.FAILURE)
        self._abandon_pending()

    def abort(self, reason: CloseReason) -> None:
        """Close at once; what has not been sent is lost."""
        self._record_close(reason)
        self.is_closing = True
        if self.transport is not None:
            self.transport.abort()

    @property
    def unsent_bytes(self) -> int:
        """How many bytes of answers the caller has not taken."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    @property
    def unread_bytes(self) -> int:
        """How many bytes the caller has sent that were not read yet."""
        if self.transport is None:
            return 0
        return unread_bytes(self.transport)

    @property
    def untaken_bytes(self) -> int:
        """How many bytes of answers the transport or the system still holds."""
        if self.transport is None:
            return 0
        return self.unsent_bytes + unacknowledged_bytes(self.transport)

    @property
    def has_unread(self) -> bool:
        """Whether the caller has sent more, and it will be read."""
        return not self.is_closing and self.unread_bytes > 0

    @property
    def owes_answers(self) -> bool:
        """Whether a request is read or runs, or an answer is not taken yet."""
        if self.transport is None:
            return False
        if self.untaken_bytes:
            return True
        if self.is_closing:
            return False
        return self._has_open_work or self.reader.is_amid_request

    def _note_use(self) -> None:
        """Start the idle time anew, under the limit in force."""
        self.last_used_at = steady_now()
        self.idle_seconds = self.reader.limits.idle_seconds

    @property
    def _has_open_work(self) -> bool:
        assert self.transport is not None
        return bool(
            self.pending
            or self.reader.ready
            or self.transport.get_write_buffer_size()
        )

    @property
    def _has_read_enough(self) -> bool:
        """Whether to read no more until requests are answered.

        A body that is read behind others counts with them, so that one
        connection can't hold several bodies of the largest size.
        """
        if len(self.reader.ready) >= MAX_READ_AHEAD:
            return True
        complete = self._complete_bytes
        held = complete + self.reader.unfinished_bytes
        return complete > 0 and held > self.reader.limits.body_bytes

    @property
    def _complete_bytes(self) -> int:
        """What is held of the bodies of requests that are complete."""
        waiting = sum(len(request.body) for request in self.reader.ready)
        return waiting + sum(len(answer.sent.body) for answer in self.pending)

    def _start_next(self) -> None:
        self.is_starting = True
        try:
            while self.reader.ready and self._may_start_next():
                sent = self.reader.ready.popleft()
                sent.queued_seconds = steady_now() - sent.read_at
                answer = PendingAnswer(sent, self._write_finished)
                self.pending.append(answer)
                request = self.entry.start_request(answer, answer.sent)
                if answer.render is None:
                    answer.request = request
        except Exception as error:
            # The answer would never come and hold back those behind it.
            self._close_failed(error)
        finally:
            self.is_starting = False

    def _may_start_next(self) -> bool:
        """Return whether the next request may start now.

        The first to read is always started, unless the connection closes.
        """
        if self.is_closing:
            return False
        if self.is_write_paused and not self.entry.has_stopped:
            return False
        if not self.pending:
            return True
        if self.entry.is_stopping or not self.pending[-1].sent.keeps_open:
            return False
        if len(self.pending) >= MAX_CONCURRENT_REQUESTS:
            return False
        held = sum(answer.body_bytes for answer in self.pending)
        if held >= MAX_HELD_ANSWER_BYTES:
            return False
        around = (self.pending[-1].sent, self.reader.ready[0])
        return all(map(self.entry.may_repeat, around))

    def _write_finished(self) -> None:
        """Write the answers that no earlier one holds back."""
        while self.pending and self.pending[0].render is not None:
            answer = self.pending.popleft()
            is_last = not self.pending and not self.reader.ready
            keeps_open = answer.sent.keeps_open and not (
                self.entry.is_stopping and is_last
            )
            self._write_answer(answer, keeps_open=keeps_open)
            if self.is_closing:
                return
            self._note_use()
            if not keeps_open:
                self.close(CloseReason.LAST_ANSWER)
                self._record_bodies()
                return
        if self.is_starting:
            return  # a refusal: the requests behind it are being started
        self._go_on()

    def _write_answer(
        self,
        answer: PendingAnswer,
        *,
        keeps_open: bool,
    ) -> None:
        assert answer.render is not None
        try:
            self._write(answer.render(keeps_open))
        except Exception as error:
            # Later answers would be taken for the one that is missing.
            self._close_failed(error)

    def _record_close(self, reason: CloseReason) -> None:
        """Count the close; log it if a request is unanswered or unread."""
        self.entry.telemetry.count('', 'connection-closed', reason)
        reader = self.reader
        # What comes behind an announced close is read and dropped.
        unread = 0 if reason in ANNOUNCED_CLOSES else self.unread_bytes
        if self.transport is not None and (
            self.pending or reader.ready or reader.is_amid_request or unread
        ):
            self.entry.log.write_limited(
                'caller-connection-closed',
                reason=reason,
                running=[
                    answer.request.log_id
                    for answer in self.pending
                    if answer.request is not None
                ],
                answered=sum(
                    answer.render is not None for answer in self.pending
                ),
                waiting=len(reader.ready),
                is_reading=reader.is_amid_request,
                unsent_bytes=self.transport.get_write_buffer_size(),
                unread_bytes=unread,
                silent_seconds=steady_now() - self.last_used_at,
            )

    def _go_on(self) -> None:
        """Start requests that waited, and read on."""
        if self.reader.ready:
            self._start_next()
        if self.is_read_paused and self not in self.entry.bodies.paused:
            self._read_on()
        self._continue_or_close()
        self._record_bodies()

    def _read_on(self) -> None:
        """Read on, and ask for a body that the caller holds back."""
        if self.is_closing or self._has_read_enough:
            return
        assert self.transport is not None
        self.is_read_paused = False
        self.read_paused_at = None
        self._note_use()  # the caller could not send before
        self.transport.resume_reading()
        self._continue_or_close()

    def _continue_or_close(self) -> None:
        """Ask for a body that the caller holds back, or refuse bad input.

        Both wait until all requests before are answered.
        """
        if self.is_closing or self.pending or self.reader.ready:
            return
        if self.rejection is not None:
            self._write(
                refusal_bytes(
                    self.rejection,
                    retry_after=_RETRY_AFTER_SECONDS.get(self.rejection, 0.0),
                    keeps_open=False,
                )
            )
            self.close(
                _REJECTION_CLOSES.get(self.rejection, CloseReason.BAD_INPUT)
            )
        elif self.reader.awaits_continue:
            if self.entry.bodies.is_full:
                self._note_read_pause()
                self.entry.bodies.wait(self)
                return
            self.reader.awaits_continue = False
            self._write(_CONTINUE)

    def _record_bodies(self) -> None:
        """Count the bodies held, of requests with and without an answer."""
        unfinished = self.reader.unfinished_bytes
        held = unfinished + self._complete_bytes
        if held or self.holds_bodies:
            self.holds_bodies = held > 0
            expected = self.reader.expected_bytes
            self.entry.bodies.record(
                self, BodyClaim(held, unfinished, expected)
            )

    def _reject_input(self, error: CallerError) -> None:
        self.rejection = _ERROR_REASONS.get(type(error), Reason.MALFORMED)
        self.entry.log.write_limited(
            'caller-bytes-refused',
            reason=self.rejection.value,
            error=str(error),
        )

    def _write(self, sent: bytes) -> None:
        transport = self.transport
        if transport is None or transport.is_closing() or self.is_closing:
            return
        transport.write(sent)
        self.entry.answers.record_writer(self)
