"""Numbers of any length in headers of other programs."""

from contextlib import suppress
from dataclasses import astuple

import pytest
from entry_builders import EntryHarness, request_bytes
from hypothesis import example, given
from hypothesis import strategies as st
from path_builders import NAMES, GuardHarness, run_order

from boragetrestle_kernel.errors import StoreError
from boragetrestle_sidecar.outcome import OutcomeKind
from boragetrestle_sidecar.store_epochs import StoreEpochs

ODD_NUMBERS = st.one_of(
    st.integers(1, 6000).map(lambda length: b'9' * length),
    st.integers(1, 6000).map(lambda length: b'0' * length + b'5'),
    st.from_regex(rb'[+-]?[0-9]{0,400}(\.[0-9]{0,30})?', fullmatch=True),
    st.sampled_from([b'', b'inf', b'-inf', b'nan', b'1e999', b'0x1f']),
    st.sampled_from(['٣', '²', '५५']).map(str.encode),
)
NAMES_THAT_ARE_READ = tuple(
    value for value in astuple(NAMES) if value != NAMES.key_scheme
)
ANSWER_HEADERS = (b'rate-limit', b'load', b'leaving', b'retry-after', b'age')


def answer_with(extra: bytes) -> GuardHarness:
    """Let a target answer a run with another header."""
    bench = GuardHarness()
    job = bench.submit(run_order())
    bench.answer(job, extra=b'seal: s\r\n' + extra)
    return bench


# Guards against whole answers that are lost to one odd header.
@pytest.mark.parametrize('name', ANSWER_HEADERS)
@given(stated=ODD_NUMBERS)
def test_answer_with_an_odd_number_is_passed_on(
    name: bytes, stated: bytes
) -> None:
    """Terms that cannot be read concern later runs."""
    bench = answer_with(b'%s: %s\r\n' % (name, stated))
    assert bench.outcomes['r-1'].kind is OutcomeKind.ANSWERED
    assert bench.guard.running == 0


# Guards against a Keep-Alive timeout that no number of Python holds, and after
# which callers wait until their time limit.
@given(stated=ODD_NUMBERS)
@example(stated=b'9' * 400)
@example(stated=b'9' * 5000)
def test_answer_with_an_odd_keep_alive_is_passed_on(stated: bytes) -> None:
    """The connection is kept if the number can be read."""
    bench = answer_with(b'Keep-Alive: timeout=%s\r\n' % stated)
    assert bench.outcomes['r-1'].status == 200
    assert bench.guard.running == 0


# Guards against a caller's time limit that no number of Python holds, and that
# closed the connection with all requests on it.
@given(stated=ODD_NUMBERS)
@example(stated=b'9' * 400)
@example(stated=b'9' * 5000)
def test_request_with_an_odd_time_limit_is_answered(stated: bytes) -> None:
    """The time limit of its route bounds it."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    usual, odd = request_bytes('r-1'), request_bytes('r-2', time_left=7)
    odd = odd.replace(b'Time-Left: 7', b'Time-Left: ' + stated)
    connection.data_received(usual + odd)
    for run in bench.sent():
        run.answer()
    assert transport.written.count(b'HTTP/1.1 ') == 2
    assert not transport.is_closed


# Guards against a valid length of a body that is refused for its leading zeros.
def test_body_whose_length_has_leading_zeros_is_read() -> None:
    """The head is within its limit."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    length = f'Content-Length: {"0" * 5000}5\r\n'
    connection.data_received(
        request_bytes(method='POST', extra=length, body='whole')
    )
    assert [run.order.body for run in bench.sent()] == [b'whole']


# Guards against an epoch of the store that ends the tasks that read it.
@given(stated=ODD_NUMBERS)
@example(stated=b'9' * 5000)
def test_odd_epoch_of_the_store_is_a_store_error(stated: bytes) -> None:
    """A task that fails in another way stops its node."""
    epochs = StoreEpochs()
    epochs.check(b'3')
    with suppress(StoreError):
        epochs.check(stated)
    assert epochs.newest < 10**18


# Guards against runs that never end for what their target sends.
@given(
    status=st.from_regex(rb'[0-9]{1,5}', fullmatch=True),
    name=st.sampled_from([
        *NAMES_THAT_ARE_READ,
        b'content-length',
        b'transfer-encoding',
        b'upgrade',
    ]),
    stated=st.one_of(ODD_NUMBERS, st.binary(max_size=40)),
)
def test_any_answer_ends_its_run(
    status: bytes, name: bytes, stated: bytes
) -> None:
    """At the latest when the connection ends."""
    bench = GuardHarness()
    job = bench.submit(run_order())
    head = b'HTTP/1.1 %s Some\r\ncall-id: r-1\r\nseal: s\r\n' % status
    job.connection.data_received(head + b'%s: %s\r\n\r\nx' % (name, stated))
    job.connection.eof_received()
    job.connection.connection_lost(None)
    assert 'r-1' in bench.outcomes
    assert bench.guard.running == 0
    assert 'run-failed' not in bench.log.kinds()
