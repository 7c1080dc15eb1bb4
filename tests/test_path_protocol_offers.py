"""Requests that offer another protocol, which a server may ignore."""

from itertools import product
from typing import Any

import pytest
from deploy_builders import report_document
from entry_builders import EntryHarness, request_bytes
from path_builders import FakeTransport, GuardHarness, LineLog, route, run_order
from test_path_pipelining import names_started

from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.endpoint_server import (
    EndpointAnswer,
    EndpointConnection,
)
from boragetrestle_sidecar.outcome import OutcomeKind
from boragetrestle_sidecar.request_reader import RequestReader

OFFERS = {
    'h2c': (
        b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
        b'HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n'
    ),
    'websocket': b'Upgrade: websocket\r\nConnection: keep-alive, upgrade\r\n',
    'tls': b'connection: upgrade\r\nupgrade: TLS/1.0\r\n',
    'list': b'Upgrade: h2c, TLS/1.0\r\nUpgrade: x/1\r\nConnection: Upgrade\r\n',
    'alone': b'Upgrade: h2c\r\n',
    'empty': b'Connection: Upgrade\r\n',
}
BODIES = {
    'without a body': b'\r\n',
    'empty': b'Content-Length: 0\r\n\r\n',
    'of a length': b'Content-Length: 8\r\n\r\nGET / HT',
    'in chunks': (
        b'Transfer-Encoding: chunked\r\n\r\n'
        b'8\r\nGET / HT\r\n2\r\nxy\r\n0\r\nx-trailer: 1\r\n\r\n'
    ),
}


def head(name: str, method: bytes = b'POST') -> bytes:
    """Return the beginning of a request."""
    return b'%s /walks/%s HTTP/1.1\r\nHost: shop\r\nx-id: %s\r\n' % (
        method,
        name.encode(),
        name.encode(),
    )


def read(sent: bytes, size: int) -> list[CallerRequest]:
    """Read requests whose bytes come in pieces of a size."""
    reader = RequestReader(CallerLimits())
    for start in range(0, len(sent), size):
        reader.feed(sent[start : start + size])
    assert not reader.is_amid_request
    return list(reader.ready)


# Guards against two answers to one request, and bodies taken for requests.
@pytest.mark.parametrize(
    ('offer', 'body', 'place', 'size'),
    product(OFFERS, BODIES, range(3), (1, 40, 100_000)),
)
def test_request_with_an_offer_is_read_like_any_other(
    offer: str,
    body: str,
    place: int,
    size: int,
) -> None:
    """With its body, and so are those behind it."""
    offers = [OFFERS[offer] if each == place else b'' for each in range(3)]
    names = ('a', 'b', 'c')
    plain = read(b''.join(head(name) + BODIES[body] for name in names), size)
    found = read(
        b''.join(
            head(name) + each + BODIES[body]
            for name, each in zip(names, offers, strict=True)
        ),
        size,
    )
    assert [
        (each.method, each.request_target, each.body, each.keeps_open)
        for each in found
    ] == [
        (each.method, each.request_target, each.body, each.keeps_open)
        for each in plain
    ]
    assert len(found) == 3


# Guards against an answer to a request that nobody sent.
@pytest.mark.parametrize('offer', OFFERS)
@pytest.mark.parametrize('is_ahead', [True, False])
def test_each_request_gets_its_answer_behind_an_offer(
    offer: str,
    *,
    is_ahead: bool,
) -> None:
    """Its caller reuses the connection."""
    bench = EntryHarness(route())
    connection, transport = bench.connect()
    first = request_bytes('a', extra=OFFERS[offer].decode())
    second = request_bytes('b')
    connection.data_received(first + second if is_ahead else first)
    bench.sent_for('a')[0].answer(body=b'body-a')
    if not is_ahead:
        connection.data_received(second)
    assert names_started(bench) == {'a', 'b'}
    bench.sent_for('b')[0].answer(body=b'body-b')
    assert transport.written.count(b'HTTP/1.1 ') == 2
    assert transport.written.endswith(b'body-b')
    assert not transport.is_closed


# Guards against bytes of a tunnel that are read as requests.
def test_request_for_a_tunnel_gets_one_answer_that_closes() -> None:
    """What follows may be of any protocol."""
    bench = EntryHarness(route())
    connection, transport = bench.connect()
    connection.data_received(
        request_bytes('t', method='CONNECT', path='example:443')
        + b'\x16\x03\x01\x02\x00'
        + request_bytes('a')
    )
    connection.data_received(request_bytes('b'))
    assert not names_started(bench)
    assert transport.written.count(b'HTTP/1.1 ') == 1
    assert transport.written.startswith(b'HTTP/1.1 404 ')
    assert b'connection: close' in transport.written.lower()


def test_report_with_an_offer_is_answered_once() -> None:
    """The HTTP client of a target may offer HTTP/2 as well."""
    bodies: list[bytes] = []

    def handle(request: CallerRequest) -> EndpointAnswer:
        bodies.append(request.body)
        return EndpointAnswer(200)

    connection = EndpointConnection(handle, LineLog())
    transport: Any = FakeTransport()
    connection.connection_made(transport)
    body = report_document()
    sent = b'PUT /instances/i-1 HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s'
    offered = sent % (OFFERS['h2c'], len(body), body)
    connection.data_received(offered + sent % (b'', len(body), body))
    assert bodies == [body, body]
    assert transport.written.count(b'HTTP/1.1 200 ') == 2
    assert transport.written.count(b'HTTP/1.1 ') == 2


# Guards against a switch of protocols that no caller has asked for.
def test_target_that_switches_protocols_gets_no_answer_through() -> None:
    """Requests to targets offer nothing."""
    bench = GuardHarness()
    job = bench.submit(run_order())
    job.connection.data_received(
        b'HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n'
        b'HTTP/1.1 200 OK\r\nid: r-1\r\nseal: s\r\nContent-Length: 2\r\n\r\nok'
    )
    assert bench.outcomes['r-1'].kind is OutcomeKind.UNKNOWN
    assert job.connection not in bench.guard.pool.idle
