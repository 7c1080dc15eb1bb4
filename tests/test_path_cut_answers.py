"""Answers that their target cuts are never passed on as whole."""

import pytest
from path_builders import GuardHarness, run_order

from boragetrestle_sidecar.outcome import Outcome, OutcomeKind

_STATUS = b'HTTP/1.1 200 OK\r\n'
_OWN = b'call-id: r-1\r\nseal: s\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
INTERIM_WITH_ID = b'HTTP/1.1 103 Early Hints\r\n' + _OWN + b'\r\n'
WITH_LENGTH = _STATUS + _OWN + b'content-length: 5\r\n\r\nwhole'
CHUNKED = (
    _STATUS
    + _OWN
    + b'transfer-encoding: chunked\r\n\r\n3\r\nwho\r\n2;a=b\r\nle\r\n'
    + b'0\r\ntrailer: x\r\n\r\n'
)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
CLOSING = _STATUS + _OWN + b'connection: close\r\n'
UNTIL_CLOSE_HEAD = _STATUS + _OWN + b'\r\n'
ANSWERED = OutcomeKind.ANSWERED
ANSWERS = {
    'with a length': WITH_LENGTH,
    'empty': _STATUS + _OWN + b'content-length: 0\r\n\r\n',
    'chunked': CHUNKED,
    'no content': b'HTTP/1.1 204 No Content\r\n' + _OWN + b'\r\n',
    'not modified': b'HTTP/1.1 304 Not Modified\r\n' + _OWN + b'\r\n',
    'to a HEAD': _STATUS + _OWN + b'content-length: 5\r\n\r\n',
    'to a HEAD after an interim answer': (
        INTERIM_WITH_ID + _STATUS + _OWN + b'transfer-encoding: chunked\r\n\r\n'
    ),
    'with a length, closing': CLOSING + b'content-length: 5\r\n\r\nwhole',
    'chunked, closing, after interim answers': (
        CONTINUE * 3
        + CLOSING
        + b'transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'
    ),
    'not run': (
        b'HTTP/1.1 503 No\r\n'
        + _OWN
        + b'not-run: 1\r\ncontent-length: 0\r\n\r\n'
    ),
    'failure': b'HTTP/1.1 500 No\r\n' + _OWN + b'content-length: 2\r\n\r\nno',
    'after an interim answer': INTERIM + WITH_LENGTH,
    'after an interim answer with an id': INTERIM_WITH_ID + WITH_LENGTH,
    'after two interim answers': INTERIM + INTERIM_WITH_ID + CHUNKED,
    'head until the close': UNTIL_CLOSE_HEAD,
    'head until the close after an interim': INTERIM_WITH_ID + UNTIL_CLOSE_HEAD,
    'after an answer to another': (
        WITH_LENGTH.replace(b'r-1', b'r-0') + WITH_LENGTH
    ),
}


def outcome_of(
    name: str,
    received: bytes,
    *,
    by_reset: bool,
    step: int,
) -> OutcomeKind:
    """Return how a run ends whose target sends this and goes away.

    It ends once, and the next run gets its own answer.
    """
    bench = GuardHarness(slots=1)
    outcomes: list[Outcome] = []
    method = b'HEAD' if 'HEAD' in name else b'GET'
    order = run_order('r-1', may_repeat=False)._replace(
        head=method + b' /walks/1 HTTP/1.1\r\n'
    )
    connection = bench.guard.submit(order, outcomes.append).connection
    assert connection is not None
    for start in range(0, len(received), step):
        connection.data_received(received[start : start + step])
    if by_reset:
        connection.connection_lost(ConnectionResetError())
    else:
        connection.eof_received()
        connection.connection_lost(None)
    assert bench.guard.running == 0
    bench.answer(bench.submit(run_order('r-2', may_repeat=False)))
    assert bench.outcomes['r-2'].body == b'whole'
    (outcome,) = outcomes
    return outcome.kind


# Guards against a success without a body for an answer cut in its head.
@pytest.mark.parametrize('by_reset', [True, False])
@pytest.mark.parametrize('step', [1, 10_000])
@pytest.mark.parametrize('name', ANSWERS)
def test_answer_that_is_cut_at_any_byte_is_lost(
    name: str,
    step: int,
    *,
    by_reset: bool,
) -> None:
    """Callers are told that the outcome is not known."""
    whole = ANSWERS[name]
    for length, _byte in enumerate(whole):
        kind = outcome_of(name, whole[:length], by_reset=by_reset, step=step)
        assert kind is OutcomeKind.UNKNOWN, whole[:length]


@pytest.mark.parametrize(
    'name', [each for each in ANSWERS if 'until' not in each]
)
def test_answer_that_is_whole_is_passed_on(name: str) -> None:
    """The close after it is no loss."""
    kind = outcome_of(name, ANSWERS[name], by_reset=True, step=10_000)
    expected = OutcomeKind.REJECTED if name == 'not run' else ANSWERED
    assert kind is expected


# Guards against the status of an earlier answer with the body of the next.
@pytest.mark.parametrize('late', [b'200 OK', b'500 No', b'503 Not Now'])
@pytest.mark.parametrize('own', [b'200 OK', b'500 Other'])
def test_cut_late_answer_does_not_run_into_the_next(
    late: bytes,
    own: bytes,
) -> None:
    """It comes while the next request on its connection is at work."""
    copy = (
        b'HTTP/1.1 %s\r\nnot-run: 1\r\nretry-after: 1\r\n'
        b'call-id: r-1\r\ncontent-length: 4\r\n\r\nlate' % late
    )
    answer = (
        b'HTTP/1.1 %s\r\ncall-id: r-2\r\nseal: s\r\n'
        b'content-length: 3\r\n\r\nown' % own
    )
    for length in range(1, len(copy) + 1):
        bench = GuardHarness(connections=1)
        bench.answer(bench.submit(run_order('r-1')))
        connection = bench.submit(run_order('r-2')).connection
        connection.data_received(copy[:length])
        connection.data_received(answer)
        outcome = bench.outcomes['r-2']
        if outcome.kind is not OutcomeKind.UNKNOWN:
            assert length == len(copy)
            assert outcome.kind is ANSWERED
            assert outcome.status == int(own[:3])
            assert outcome.body == b'own'
