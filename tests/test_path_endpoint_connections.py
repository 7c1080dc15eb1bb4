"""Connections to a node's own addresses whose other end misbehaves."""

from typing import Any

import pytest
from path_builders import FakeTransport, LineLog

from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.endpoint_server import (
    EndpointAnswer,
    EndpointConnection,
)

REQUEST = b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n'


def connect(handler: Any) -> tuple[EndpointConnection, FakeTransport]:
    """Return a connection to an endpoint."""
    connection = EndpointConnection(handler, LineLog())
    transport: Any = FakeTransport()
    connection.connection_made(transport)
    return connection, transport


def answer(_request: CallerRequest) -> EndpointAnswer:
    """Answer as a handler without faults."""
    return EndpointAnswer(200, b'x' * 100)


# Guards against answers without end that nobody takes.
def test_requests_wait_while_their_answers_are_not_taken() -> None:
    """They are answered when the reader goes on."""
    connection, transport = connect(answer)
    connection.pause_writing()
    connection.data_received(REQUEST * 5)
    assert not transport.written
    assert not transport.is_reading
    connection.resume_writing()
    assert transport.written.count(b'HTTP/1.1 200') == 5
    assert transport.is_reading


# Guards against a handler that raises and leaves its caller without an answer.
@pytest.mark.parametrize('keeps_open', [True, False])
def test_request_that_fails_is_answered_alone(*, keeps_open: bool) -> None:
    """The next request is handled."""
    outcomes: list[Exception | EndpointAnswer] = [
        KeyError('fault'),
        EndpointAnswer(200),
    ]

    def handle(_request: CallerRequest) -> EndpointAnswer:
        outcome = outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    connection, transport = connect(handle)
    connection.data_received(REQUEST)
    if keeps_open:
        connection.data_received(REQUEST)
    assert transport.written.startswith(b'HTTP/1.1 500')
    assert (b'HTTP/1.1 200' in transport.written) == keeps_open
