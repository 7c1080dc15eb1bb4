"""Structured log lines on standard output, rate-limited and non-blocking."""

import os
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

import orjson
from eliot import add_destinations, log_message

from boragetrestle_sidecar.steady_clock import steady_now

# 40 kinds at 60 us a line stay under 5% of a core.
LINES_PER_KIND_PER_SECOND = 20
_MAX_BUFFER_BYTES = 256_000  # about a second's lines, for a slow reader


class DecisionLog:
    """Log the decisions of a node, with a rate limit for each kind of line.

    Lines over ``LINES_PER_KIND_PER_SECOND`` are counted, and the counts are
    logged as ``lines-suppressed`` with the next second's first line. A reader
    that is slow or gone never delays a request: lines are dropped and counted.
    """

    def __init__(
        self,
        write: Callable[[str, dict[str, Any]], None],
        *,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.write = write
        self.clock = clock
        self.written: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()
        self.current_second = 0

    def write_limited(self, kind: str, **fields: Any) -> None:
        """Write a line unless its kind has reached the limit of this second."""
        second = int(self.clock())
        if second != self.current_second:
            self._start_second(second)
        if self.written[kind] >= LINES_PER_KIND_PER_SECOND:
            self.suppressed[kind] += 1
            return
        self.written[kind] += 1
        self.write(kind, fields)

    def write_unlimited(self, kind: str, **fields: Any) -> None:
        """Write a line of a rare kind, such as a start, without a limit."""
        self.write(kind, fields)

    def _start_second(self, second: int) -> None:
        self.current_second = second
        self.written.clear()
        suppressed = dict(self.suppressed)
        self.suppressed.clear()
        if suppressed:
            self.write('lines-suppressed', {'counts': suppressed})


class NonBlockingWriter:
    """Write lines to a file descriptor without blocking.

    Lines are buffered while the reader is slow and dropped when the buffer is
    full; ``lines_dropped_before`` of the next line is their count.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.buffer = bytearray()
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message as a JSON line."""
        if len(self.buffer) > _MAX_BUFFER_BYTES:
            self.dropped += 1
        else:
            if self.dropped:
                message = {**message, 'lines_dropped_before': self.dropped}
                self.dropped = 0
            self.buffer += orjson.dumps(
                message,
                default=str,
                option=orjson.OPT_APPEND_NEWLINE,
            )
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so buffered lines can never be delivered.
            self.dropped += 1
            self.buffer.clear()
            return
        del self.buffer[:written]


def open_log(descriptor: int | None = None) -> DecisionLog:
    """Return the log of this process, by default on its standard output."""
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    add_destinations(NonBlockingWriter(descriptor))
    return DecisionLog(_write)


def _write(kind: str, fields: dict[str, Any]) -> None:
    log_message(message_type=kind, **fields)
