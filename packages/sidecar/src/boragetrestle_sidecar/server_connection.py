"""A keep-alive connection to an HTTP server, one exchange at a time."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Protocol, cast

from boragetrestle_kernel.errors import HttpError
from boragetrestle_sidecar.answer_buffers import AnswerBuffers
from boragetrestle_sidecar.answer_reader import MAX_ANSWER_BYTES, AnswerReader
from boragetrestle_sidecar.header_number import read_count
from boragetrestle_sidecar.piece_writer import PieceWriter
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import RequestId
    from boragetrestle_sidecar.target_answer import TargetAnswer

_DEFAULT_IDLE_SECONDS = 4.0  # for servers that state no Keep-Alive timeout
_IDLE_MARGIN_SECONDS = 1.0  # Keep-Alive states seconds, rounded down
_MAX_KEEP_ALIVE_SECONDS = 86_400
MAX_REFUSED_IDS = 100  # a connection with more is closed


class Loss(Enum):
    """Why an exchange ended without a usable answer."""

    CLOSED = 'closed'
    SILENT = 'silent'
    GARBLED = 'garbled'


class ExchangeListener(Protocol):
    """The receiver of the end of an exchange."""

    def answered(self, answer: 'TargetAnswer') -> None:
        """Receive the complete answer."""

    def lost(self, loss: Loss) -> None:
        """Receive the notice that no usable answer will come."""


class ServerConnection(asyncio.Protocol):
    """One connection to a server that echoes request ids.

    ``id_header`` names the header with the id. An answer that echoes another id
    belongs to an earlier exchange and is discarded. A connection on which
    anything unexpected arrived is closed, and ``refusal`` then says what.
    ``buffers`` bounds what connections hold of unfinished answers together.
    ``refused_ids`` are those that the server refused to run: should it write a
    refusal once more, it must not meet another attempt under the same id.
    ``on_idle_lost`` is called when the server ends the connection while no
    exchange is running.
    """

    def __init__(
        self,
        *,
        id_header: bytes = b'',
        buffers: AnswerBuffers | None = None,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.clock = clock
        self.id_header = id_header
        self.buffers = buffers or AnswerBuffers(MAX_ANSWER_BYTES)
        self.refusal = ''
        self.on_idle_lost: Callable[[ServerConnection], None] | None = None
        self.was_closed_here = False
        self.reader = AnswerReader(self._accept_answer)
        self.listener: ExchangeListener | None = None
        self.request_id: RequestId | None = None
        self.refused_ids: set[RequestId] = set()
        self.matching_answer: TargetAnswer | None = None
        self.transport: asyncio.Transport | None = None
        self.pieces: PieceWriter | None = None
        self.idle_seconds = _DEFAULT_IDLE_SECONDS
        self.idle_since = self.clock()
        self.is_usable = False
        self.served = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is open."""
        self.transport = cast('asyncio.Transport', transport)
        self.pieces = PieceWriter(self.transport)
        self.is_usable = True

    def exchange(
        self,
        request: bytes,
        listener: ExchangeListener,
        request_id: 'RequestId | None' = None,
        *,
        is_head: bool = False,
        body: bytes = b'',
    ) -> None:
        """Send a complete request; the listener is told how it ended.

        A ``body`` that is not in ``request`` is sent behind it without a copy.
        """
        assert self.transport is not None
        self.listener = listener
        self.request_id = request_id
        self.reader.begin_exchange()
        self.reader.expects_no_body = is_head
        self.transport.write(request)
        if body:
            assert self.pieces is not None
            self.pieces.write(body)

    def pause_writing(self) -> None:
        """Hold back a body that the server is slow to take."""
        if self.pieces is not None:
            self.pieces.pause()

    def resume_writing(self) -> None:
        """Send on."""
        if self.pieces is not None:
            self.pieces.resume()

    def is_fresh(self, now: float, *, within: float | None = None) -> bool:
        """Return whether the server should still keep the connection open."""
        max_idle_seconds = self.idle_seconds if within is None else within
        return self.is_usable and now - self.idle_since < max_idle_seconds

    def is_within_timeout(self, now: float) -> bool:
        """Return whether it has idled for less than the server allows."""
        return now - self.idle_since < self.idle_seconds

    def note_refusal(self, request_id: 'RequestId') -> None:
        """Note that the server has refused to run a request."""
        self.refused_ids.add(request_id)
        if len(self.refused_ids) > MAX_REFUSED_IDS:
            self.close()

    def close(self) -> None:
        """Close at once, without telling the listener of a running exchange."""
        self.buffers.record(self, 0)
        self.reader.discard()
        self.listener = None
        self.is_usable = False
        self.was_closed_here = True
        if self.pieces is not None:
            self.pieces.clear()
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, received: bytes) -> None:
        """Parse what the server sent."""
        if self.listener is None:
            self.close()
            return
        try:
            self.reader.feed(received)
        except HttpError as error:
            if self.matching_answer is None:
                self.refuse(error)
                return
            # The answer was whole before the bytes that are none.
            self.refusal = str(error)
            self.is_usable = False
        self.buffers.record(self, self.reader.held_bytes)
        self._deliver()

    def refuse(self, error: HttpError) -> None:
        """Fail a running exchange for what was received.

        Only the text is kept: the traceback of the error refers to the bytes.
        """
        self.refusal = str(error)
        self._fail(Loss.GARBLED)

    def eof_received(self) -> bool:
        """Complete an answer that is delimited by the end of the connection."""
        self.is_usable = False
        self.reader.end()
        self._deliver()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail a running exchange.

        The kernel reports a time-out for a connection whose other end no longer
        acknowledges anything.
        """
        if self.listener is None and not self.was_closed_here:
            if self.on_idle_lost is not None:
                self.on_idle_lost(self)
        is_silent = isinstance(error, TimeoutError)
        self._fail(Loss.SILENT if is_silent else Loss.CLOSED)

    def _accept_answer(self, answer: 'TargetAnswer') -> None:
        if self.matching_answer is not None:
            self.is_usable = False
        elif self._echoes_request_id(answer):
            self.matching_answer = answer

    def _deliver(self) -> None:
        answer = self.matching_answer
        listener = self.listener
        if answer is None or listener is None:
            return
        self._update_reuse(answer)
        self.matching_answer = None
        self.listener = None
        self.served += 1
        self.idle_since = self.clock()
        if not self.is_usable:
            self.close()
        listener.answered(answer)

    def _echoes_request_id(self, answer: 'TargetAnswer') -> bool:
        if self.request_id is None:
            return True
        return answer.header(self.id_header) == self.request_id

    def _update_reuse(self, answer: 'TargetAnswer') -> None:
        assert self.pieces is not None
        is_flushed = self.pieces.unsent_bytes == 0
        is_clean = is_flushed and not self.reader.is_amid_answer
        if not answer.keeps_open or not is_clean:
            self.is_usable = False
        keep_alive = answer.header(b'keep-alive')
        if keep_alive is not None:
            self.idle_seconds = _keep_alive_seconds(keep_alive)

    def _fail(self, loss: Loss) -> None:
        listener = self.listener
        self.close()
        if listener is not None:
            listener.lost(loss)


def _keep_alive_seconds(keep_alive: bytes) -> float:
    """Parse a Keep-Alive header into the seconds a connection may idle.

    >>> _keep_alive_seconds(b'timeout=10, max=100')
    9.0
    """
    for part in keep_alive.split(b','):
        name, _, stated = part.strip().partition(b'=')
        seconds = read_count(stated, most=_MAX_KEEP_ALIVE_SECONDS)
        if name.lower() == b'timeout' and seconds is not None:
            return max(0.0, seconds - _IDLE_MARGIN_SECONDS)
    return _DEFAULT_IDLE_SECONDS
