"""Connections to a node's own addresses whose other end misbehaves."""

import asyncio
from collections.abc import Awaitable, Callable
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


def run_with_wait(
    test: Callable[
        [EndpointConnection, FakeTransport, asyncio.Event], Awaitable[None]
    ],
    status: int = 200,
) -> None:
    """Run a test with a handler whose first answer waits for an event."""

    async def run() -> None:
        event = asyncio.Event()

        async def answer_later() -> EndpointAnswer:
            await event.wait()
            if status == 500:
                raise KeyError('fault')
            return EndpointAnswer(status)

        answers: list[Any] = [answer_later(), EndpointAnswer(204)]
        connection, transport = connect(lambda _request: answers.pop(0))
        await test(connection, transport, event)
        for each in answers:
            if asyncio.iscoroutine(each):
                each.close()

    asyncio.run(run())


# Guards against answers that overtake one that waits for the store.
@pytest.mark.parametrize('status', [200, 503, 500])
def test_answer_that_waits_keeps_its_place(status: int) -> None:
    """The next request is handled behind it, also if it fails."""

    async def test(
        connection: EndpointConnection,
        transport: FakeTransport,
        event: asyncio.Event,
    ) -> None:
        connection.data_received(REQUEST * 2)
        await asyncio.sleep(0)
        assert not transport.written
        assert not transport.is_reading
        event.set()
        await asyncio.sleep(0.01)
        first, _head, second = transport.written.partition(b'HTTP/1.1 204')
        assert first.startswith(b'HTTP/1.1 %d' % status)
        assert second
        assert transport.is_reading

    run_with_wait(test, status)


def test_answer_is_dropped_if_the_connection_has_closed_meanwhile() -> None:
    """Nobody would get it."""

    async def test(
        connection: EndpointConnection,
        transport: FakeTransport,
        event: asyncio.Event,
    ) -> None:
        connection.data_received(REQUEST)
        await asyncio.sleep(0)
        transport.close()
        event.set()
        await asyncio.sleep(0.01)
        assert not transport.written

    run_with_wait(test)
