"""Answers that callers are slow to take."""

from typing import Any

import pytest
from entry_builders import ANSWER_BYTES, EntryHarness, request_bytes
from path_builders import GuardHarness, answer_bytes, run_order

from boragetrestle_sidecar.answer_buffers import SMALL_ANSWER_BYTES
from boragetrestle_sidecar.caller_connection import (
    MAX_STALLED_ANSWER_SECONDS,
    CallerConnection,
)
from boragetrestle_sidecar.close_reason import CloseReason
from boragetrestle_sidecar.outcome import OutcomeKind

SIZE = ANSWER_BYTES * 3 // 5


class SlowCaller:
    """A caller that has not taken the answer it got."""

    def __init__(self, bench: EntryHarness, name: str, size: int) -> None:
        connection, transport = bench.connect()
        self.connection: CallerConnection = connection
        self.transport: Any = transport
        self.connection.data_received(request_bytes(name))
        self.transport.unflushed = size
        (run,) = bench.sent_for(name)
        run.answer(body=b'x' * size)
        if self.status != b'200':
            self.transport.unflushed = 0

    @property
    def status(self) -> bytes:
        """The status of the answer that was written."""
        return bytes(self.transport.written.split()[1])


# Guards against finished answers that are in no account of memory.
def test_large_answer_is_refused_while_others_are_not_taken() -> None:
    """Small ones are written, and large ones again when there is room."""
    bench = EntryHarness()
    first = SlowCaller(bench, 'r-1', SIZE)
    assert first.status == b'200'
    assert SlowCaller(bench, 'r-2', SIZE).status == b'502'
    assert SlowCaller(bench, 'r-3', SMALL_ANSWER_BYTES).status == b'200'
    first.connection.connection_lost(None)
    assert SlowCaller(bench, 'r-4', SIZE).status == b'200'


# Guards against callers that never read and keep the memory of answers.
@pytest.mark.parametrize(
    ('size', 'is_cut'), [(SIZE, True), (SMALL_ANSWER_BYTES, False)]
)
def test_untaken_answer_is_given_up_if_memory_is_scarce(
    size: int, *, is_cut: bool
) -> None:
    """A caller that takes some of it, or is in nobody's way, stays."""
    bench = EntryHarness()
    slow = SlowCaller(bench, 'r-1', size)
    now = slow.connection.unsent_since
    slow.connection.give_up_stalled_answers(now)
    slow.transport.unflushed -= 1
    now += MAX_STALLED_ANSWER_SECONDS + 1
    slow.connection.give_up_stalled_answers(now)
    assert not slow.transport.is_closed
    now += MAX_STALLED_ANSWER_SECONDS + 1
    slow.connection.give_up_stalled_answers(now)
    assert slow.transport.is_closed is is_cut
    closed = bench.entry.telemetry.render()
    assert (CloseReason.UNTAKEN in closed) is is_cut


# Guards against answers of targets that have no room beside untaken ones.
def test_answer_without_room_beside_untaken_ones_is_refused() -> None:
    """The guard reads no more of it than a small answer."""
    bench = GuardHarness()
    buffers = bench.guard.pool.buffers
    caller = SlowCaller(EntryHarness(), 'r-1', buffers.limit)
    buffers.record_writer(caller.connection)
    job = bench.submit(run_order('r-2'))
    job.connection.data_received(
        answer_bytes('r-2', b'x' * SIZE)[: SMALL_ANSWER_BYTES * 2]
    )
    assert bench.outcomes['r-2'].kind is OutcomeKind.UNKNOWN
    assert not buffers.held
