"""Read the answers on one connection to a server."""

from collections.abc import Callable
from http import HTTPStatus

import httptools

from boragetrestle_kernel.errors import HttpError
from boragetrestle_sidecar.target_answer import TargetAnswer

# Larger answers are refused, since a node holds each answer until it is whole.
MAX_ANSWER_BYTES = 16_000_000
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class AnswerReader:
    """Parse bytes into whole answers, one after the other.

    An answer without a length ends when its connection is closed in order.
    ``on_answer`` is called with each whole answer.
    """

    def __init__(self, on_answer: Callable[[TargetAnswer], None]) -> None:
        self.on_answer = on_answer
        self.parser = httptools.HttpResponseParser(self)
        self.answers_head = False
        self._begin()

    def feed(self, received: bytes) -> None:
        """Parse bytes; raise ``HttpError`` for bytes that are no answer."""
        try:
            self.parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise HttpError(
                f'the bytes are no HTTP/1.1 answer: {error}',
                remedy='look for a fault of the server',
            ) from error

    def end(self) -> bool:
        """Take the orderly end of the connection.

        Returns whether it completed an answer without a length.
        """
        if not self.has_head or self.is_framed:
            return False
        self._finish(keeps_open=False)
        return True

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._begin()
        self.is_amid_answer = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        name = name.lower()
        if name in {b'content-length', b'transfer-encoding'}:
            self.is_framed = True
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the status."""
        self.status = self.parser.get_status_code()
        self.has_head = True
        if self.status in _BODILESS:
            self.is_framed = True
        if self.answers_head and self.status >= HTTPStatus.OK:
            self._finish(keeps_open=False)

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self.body_bytes += len(body)
        if self.body_bytes > MAX_ANSWER_BYTES:
            raise HttpError(
                f'the answer is over {MAX_ANSWER_BYTES} bytes',
                remedy='let the service answer in smaller parts',
            )
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand over a whole answer; interim answers are passed over."""
        self.is_amid_answer = False
        if self.status >= HTTPStatus.OK and self.has_head:
            self._finish(keeps_open=self.parser.should_keep_alive())

    def _begin(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.body_bytes = 0
        self.has_head = False
        self.is_framed = False
        self.is_amid_answer = False

    def _finish(self, *, keeps_open: bool) -> None:
        self.has_head = False
        self.on_answer(
            TargetAnswer(
                self.status,
                self.headers,
                b''.join(self.chunks),
                keeps_open,
            )
        )
