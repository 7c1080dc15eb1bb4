"""Log lines are rate-limited and never delay a request."""

import json
import os

from path_builders import LineLog, ManualClock

from boragetrestle_sidecar.decision_log import (
    LINES_PER_KIND_PER_SECOND,
    NonBlockingWriter,
)


def test_lines_of_a_kind_are_bounded_and_counted() -> None:
    """A burst of refusals logs some lines and the number of the others."""
    clock = ManualClock()
    log = LineLog(clock)
    for number in range(500):
        log.write_limited('refused', number=number)
    clock.now += 1
    log.write_limited('refused', number=500)
    assert log.kinds().count('refused') == LINES_PER_KIND_PER_SECOND + 1
    left_out = dict(log.lines)['lines-suppressed']['counts']
    assert left_out == {'refused': 500 - LINES_PER_KIND_PER_SECOND}


def test_no_kind_hides_another() -> None:
    """A rare line is written while another kind is over its limit."""
    log = LineLog()
    for _ in range(500):
        log.write_limited('refused')
    log.write_limited('placed-again')
    assert 'placed-again' in log.kinds()


def test_slow_reader_costs_lines_and_never_blocks() -> None:
    """With a full pipe the writer drops lines and counts them."""
    reading, writing = os.pipe()
    write = NonBlockingWriter(writing)
    for number in range(20_000):
        write({'number': number, 'padding': 'x' * 100})
    assert write.dropped > 0
    received = b''
    while len(received) < 60_000:
        received += os.read(reading, 65536)
    assert json.loads(received.splitlines()[0])['number'] == 0
    os.close(reading)
    os.close(writing)


def test_lost_reader_is_no_error() -> None:
    """Lines are dropped and counted when the reader has gone."""
    reading, writing = os.pipe()
    write = NonBlockingWriter(writing)
    os.close(reading)
    write({'line': 1})
    assert write.dropped == 1
    os.close(writing)
