"""Structured lines on standard output, bounded and never blocking."""

import os
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

import orjson
from eliot import add_destinations, log_message

from boragetrestle_sidecar.steady_clock import steady_now

LINES_PER_SECOND = 20  # per kind; 40 kinds at 60 us a line stay under 5% CPU
_BUFFER_BYTES = 256_000  # lines held for a slow reader, about a second's


class DecisionLog:
    """Write one line a decision, at most ``LINES_PER_SECOND`` of a kind.

    Lines beyond the bound are counted, and the count is written with the next
    second's lines under ``suppressed``. A reader that is slow or gone costs
    lines, which are counted as well, and never holds a request up.
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
        self.second = 0

    def line(self, kind: str, **fields: Any) -> None:
        """Write a line of a kind unless the kind has used up its second."""
        second = int(self.clock())
        if second != self.second:
            self._turn(second)
        if self.written[kind] >= LINES_PER_SECOND:
            self.suppressed[kind] += 1
            return
        self.written[kind] += 1
        self.write(kind, fields)

    def always(self, kind: str, **fields: Any) -> None:
        """Write a line of a rare kind, such as a start or a stop."""
        self.write(kind, fields)

    def _turn(self, second: int) -> None:
        self.second = second
        self.written.clear()
        suppressed = dict(self.suppressed)
        self.suppressed.clear()
        if suppressed:
            self.write('lines-suppressed', {'counts': suppressed})


class BoundedWriter:
    """Write lines to a descriptor that is never waited for."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.buffer = bytearray()
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message as a JSON line."""
        if len(self.buffer) > _BUFFER_BYTES:
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
        """Write as much as the reader takes now."""
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # Without a reader lines are of no use to anyone.
            self.dropped += 1
            self.buffer.clear()
            return
        del self.buffer[:written]


def open_log() -> DecisionLog:
    """Return the log of this process, on its standard output."""
    add_destinations(BoundedWriter(sys.stdout.fileno()))
    return DecisionLog(_write)


def _write(kind: str, fields: dict[str, Any]) -> None:
    log_message(message_type=kind, **fields)
