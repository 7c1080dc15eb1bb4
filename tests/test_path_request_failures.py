"""A fault of the node in the handling of one request ends that request alone."""

import re
from operator import attrgetter
from typing import Any

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import route

from boragetrestle_sidecar.outcome import OutcomeKind, Reason

OK, UNKNOWN = b'HTTP/1.1 200 ', b'HTTP/1.1 502 '
STARTING_STEPS = (
    'configuration.find_organisation',
    'service_split.choose',
    'parts.retry_budget.record_request',
    'admission.admit_or_retry_after',
    'rate_gate.take_token',
    'probe.choose_guards',
    'fleet.is_responsive',
)
ANSWER_STEPS = ('fleet.record_outcome', 'telemetry.count_answer')


class Fault:
    """A step of the entry that raises an exception while it is broken."""

    def __init__(self, bench: EntryHarness, step: str) -> None:
        path, _, name = step.rpartition('.')
        self.name = name
        self.owner: Any = attrgetter(path)(bench.entry)
        self.working = getattr(self.owner, self.name)
        setattr(self.owner, self.name, self.fail)

    def fail(self, *_arguments: object, **_options: object) -> None:
        """Fail as a faulty step does."""
        raise RuntimeError(self.name)

    def mend(self) -> None:
        """Let the step work again."""
        setattr(self.owner, self.name, self.working)


def statuses(transport: Any) -> list[bytes]:
    """Return the starts of the status lines that were written."""
    return re.findall(rb'HTTP/1\.1 \d{3} ', transport.written)


# Guards against a fault that closes the connection of other requests.
@pytest.mark.parametrize('step', STARTING_STEPS)
def test_request_that_cannot_start_is_refused_alone(step: str) -> None:
    """Those before and behind it on its connection are answered."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes('a'))
    fault = Fault(bench, step)
    connection.data_received(request_bytes('b'))
    fault.mend()
    connection.data_received(request_bytes('c'))
    for run in bench.sent():
        run.answer()
    assert statuses(transport) == [OK, UNKNOWN, OK]
    assert not transport.is_closed
    assert not bench.entry.requests
    assert 'request-failed' in bench.log.kinds()


# Guards against whole answers that are lost to a fault in what is counted.
@pytest.mark.parametrize('step', ANSWER_STEPS)
def test_answer_is_written_although_it_cannot_be_counted(step: str) -> None:
    """The caller gets what the target has answered."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    Fault(bench, step)
    bench.sent()[0].answer()
    assert statuses(transport) == [OK]


# Guards against a fault with one outcome that drops the link of other runs.
def test_outcome_that_cannot_be_handled_ends_its_request_alone() -> None:
    """No exception reaches the link."""
    bench = EntryHarness(route(max_attempts=1))
    connection, transport = bench.connect()
    connection.data_received(request_bytes('a') + request_bytes('b'))
    first, second = bench.sent()
    fault = Fault(bench, 'admission.seconds_until_capacity')
    first.end(OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
    fault.mend()
    second.answer()
    assert statuses(transport) == [UNKNOWN, OK]


# Guards against a sweep that ends its task, and with it the node.
def test_overdue_request_is_answered_although_its_refusal_fails() -> None:
    """The others that are overdue are refused."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes('a') + request_bytes('b'))
    Fault(bench, 'telemetry.count')
    bench.clock.now += 3
    bench.entry.expire_overdue_requests()
    assert statuses(transport) == [UNKNOWN, UNKNOWN]
    assert sum(len(hop.cancelled) for hop in bench.hops.values()) == 2


# Guards against a stop that fails with one refusal and cuts all other requests.
@pytest.mark.parametrize(
    'step', ['telemetry.count', 'admission.seconds_until_capacity']
)
def test_end_of_a_stop_answers_all_although_a_refusal_fails(step: str) -> None:
    """Those at a guard are cancelled there."""
    bench = EntryHarness()
    connection, transport = bench.connect()
    connection.data_received(request_bytes('a') + request_bytes('b'))
    Fault(bench, step)
    bench.entry.is_stopping = True
    bench.entry.finish_stop()
    assert statuses(transport) == [UNKNOWN, UNKNOWN]
    assert sum(len(hop.cancelled) for hop in bench.hops.values()) == 2


# Guards against a cancellation that meets another request's run.
def test_run_that_cannot_be_sent_cancels_no_other_run() -> None:
    """Each link counts its runs from one."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    connection.data_received(request_bytes('a'))
    (first,) = (hop for hop in bench.hops.values() if hop.sent)
    (other,) = (hop for hop in bench.hops.values() if not hop.sent)
    other.sent.append(first.sent[0])  # the run of another request, number 1
    broken: Any = other
    broken.run = None
    first.sent[0].end(OutcomeKind.NOT_SENT, Reason.QUEUE_FULL)
    assert not bench.entry.requests
    assert 1 not in other.cancelled
