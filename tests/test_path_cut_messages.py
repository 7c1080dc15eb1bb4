"""Requests and frames that are cut at each byte leave nothing behind."""

import asyncio
from contextlib import suppress
from typing import Any

import pytest
from entry_builders import LOAD, EntryHarness, request_bytes
from path_builders import FakeTransport, route, run_order
from test_path_peer_fuzz import Victim

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import CallerError
from boragetrestle_sidecar.body_budget import LARGE_BODY_BYTES
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind
from boragetrestle_sidecar.peer_frames import FrameKind, encode_frame
from boragetrestle_sidecar.peer_link import PeerLink
from boragetrestle_sidecar.request_reader import RequestReader

WITH_LENGTH = request_bytes(
    method='POST', extra='Content-Length: 5\r\n', body='whole'
)
REQUESTS = {
    'no body': request_bytes(),
    'HEAD': request_bytes(method='HEAD'),
    'with a length': WITH_LENGTH,
    'chunked': request_bytes(
        method='POST',
        extra='Transfer-Encoding: chunked\r\n',
        body='3;a=b\r\nwho\r\n2\r\nle\r\n0\r\nx-a: b\r\n\r\n',
    ),
    'expects 100': request_bytes(
        method='POST',
        extra='Expect: 100-continue\r\nContent-Length: 5\r\n',
        body='whole',
    ),
    'two': WITH_LENGTH + request_bytes('r-2'),
    'closing': request_bytes(extra='Connection: close\r\n') + WITH_LENGTH,
}
SMALL, LARGE = b'whole', b'x' * (LARGE_BODY_BYTES + 1)
ENDS = 300  # bytes at the start and the end of a long frame


def cuts_of(sent: bytes) -> list[int]:
    """Return where to cut a message."""
    places = range(len(sent))
    return sorted({*places[:ENDS], *places[-ENDS:]})


@pytest.mark.parametrize('name', REQUESTS)
@pytest.mark.parametrize('error', [None, ConnectionResetError()])
def test_request_that_is_cut_leaves_nothing(
    name: str,
    error: Exception | None,
) -> None:
    """What is complete is cancelled with its caller, the rest never runs."""
    whole = REQUESTS[name]
    for length in range(len(whole) + 1):
        bench = EntryHarness()
        connection, _transport = bench.connect()
        for place in range(length):
            connection.data_received(whole[place : place + 1])
        sent = bench.sent()
        reader = RequestReader(CallerLimits())
        with suppress(CallerError):  # bytes behind a closing request
            reader.feed(whole[:length])
        assert len(sent) <= len(reader.ready)
        connection.connection_lost(error)
        assert bench.sent() == sent
        cancelled = [hop.cancelled for hop in bench.hops.values()]
        assert sum(map(len, cancelled)) == len(sent)
        for run in sent:
            run.answer()
        assert not bench.entry.requests
        assert not bench.entry.connections
        assert not bench.entry.bodies.held_bytes


@pytest.mark.parametrize('body', [SMALL, LARGE], ids=['small', 'large'])
def test_outcome_that_is_cut_is_lost(body: bytes) -> None:
    """Its caller gets 502, once, also if the rest comes over the next link."""
    outcome = Outcome(
        OutcomeKind.ANSWERED,
        status=200,
        head=b'HTTP/1.1 200 OK\r\nseal: s\r\n',
        body=body,
        load=LOAD,
    )
    whole = encode_frame(FrameKind.OUTCOME, 1, outcome)

    async def test() -> None:
        victim = Victim()
        for length in cuts_of(whole):
            bench = EntryHarness(route(may_repeat=False))
            link = PeerLink(Address('127.0.0.1', 9), victim.messages, bench.log)
            hop: Any = bench.hops['a']
            hop.run = link.run
            bench.fleet.remove('b')
            transports: list[Any] = [FakeTransport(), FakeTransport()]
            link.connection_made(transports[0])
            connection, transport = bench.connect()
            connection.data_received(request_bytes())
            link.data_received(whole[:length])
            assert not transport.written
            link.connection_lost(None)
            link.connection_made(transports[1])
            link.data_received(whole[length:])
            assert transport.written.startswith(b'HTTP/1.1 502')
            assert transport.written.count(b'HTTP/1.1') == 1
            assert not bench.entry.requests
            assert not link.answers.held_bytes

    asyncio.run(test())


@pytest.mark.parametrize('body', [SMALL, LARGE], ids=['small', 'large'])
def test_run_that_is_cut_leaves_nothing(body: bytes) -> None:
    """Neither a run, nor its slot, nor the memory of its body."""
    whole = encode_frame(FrameKind.RUN, 1, run_order()._replace(body=body))

    async def test() -> None:
        victim = Victim()
        guard = victim.server.guard
        for length in cuts_of(whole):
            connection = victim.connection()[0]
            connection.data_received(whole[:length])
            assert not guard.jobs
            connection.connection_lost(None)
            assert not victim.server.buffers.held_bytes
        connection = victim.connection()[0]
        connection.data_received(whole)
        assert guard.running == 1
        connection.connection_lost(None)
        assert guard.running == 0
        assert not victim.server.buffers.held_bytes

    asyncio.run(test())
