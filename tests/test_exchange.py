"""Whole answers: streaming, cuts, early answers and kept connections."""

import tracemalloc
from contextlib import suppress

import pytest
import trio
from builders import READ, running_fleet, service, service_text
from http_builders import RawTarget, answers, read_all
from trio.testing import wait_all_tasks_blocked

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import HttpError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.http_server import HttpServerConnection
from boragetrestle_kernel.network import TcpNetwork
from boragetrestle_node import connection_pool
from boragetrestle_node.attempt import Attempt
from boragetrestle_node.connection_pool import ConnectionPool
from boragetrestle_node.forwarder import Forwarder
from boragetrestle_node.replayable_body import ReplayableBody
from boragetrestle_standin.host_plan import HostPlan, OnwardCall

_PATH = '/walks/items/7'
_MEGABYTE = 1_000_000
_OK = b'HTTP/1.1 200 OK\r\n'
_PART = b'x' * 50_000
_DIAL_SECONDS = 30.0


@pytest.fixture(autouse=True)
def _late_dials(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a relay on a host that is held up still reach its target."""
    monkeypatch.setattr(connection_pool, 'DIAL_SECONDS', _DIAL_SECONDS)


class Relay:
    """A forwarder between loopback sockets, and how its attempts ended."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.pool = ConnectionPool(TcpNetwork())
        self.forwarder = Forwarder(self.pool)
        self.attempts: list[Attempt] = []

    async def handle(self, request, connection):
        await request.buffer_body()
        forwarded = await self.forwarder.forward(
            self.target,
            request,
            connection,
            context=b'signed',
            call_id='c1',
            remaining=5,
            body=ReplayableBody(request),
        )
        self.attempts.append(forwarded.attempt)
        if not connection.has_started_answer:
            await connection.answer(502, [])


class Loopback:
    """A raw target, a relay to it and a client of the relay."""

    def __init__(self, script, nursery):
        self.script = script
        self.nursery = nursery
        self.target = RawTarget(script)

    async def start(self) -> HttpClientConnection:
        """Return a client connection to the relay."""
        relay_at = await self._listen(self.target.serve)
        self.relay = Relay(relay_at)
        self.network = TcpNetwork()
        self.address = await self._listen(self._relay)
        return await self.dial()

    async def dial(self) -> HttpClientConnection:
        """Return one more client connection."""
        return HttpClientConnection(await self.network.dial(self.address))

    async def _relay(self, stream):
        connection = HttpServerConnection(stream)
        watch = self.network.watch(stream, connection.handle_caller_close)
        await connection.serve(self.relay.handle)
        watch.cancel()

    async def _listen(self, serve):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        return Address(*listeners[0].socket.getsockname()[:2])


_FIELDS = [(b'host', b'walks'), (b'authorization', b'Bearer secret')]


async def test_cut_answers_are_never_passed_on_as_whole():
    sized = _OK + b'Content-Length: 10\r\n\r\nabc'
    chunked = _OK + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
    for cut in (sized, chunked):
        async with trio.open_nursery() as nursery:
            loop = Loopback(answers(cut, is_kept=False), nursery)
            client = await loop.start()
            await client.send_head(b'GET', b'/', _FIELDS)
            await client.send_end()
            with pytest.raises(HttpError):
                response = await client.receive_head()
                await response.read()
            await wait_all_tasks_blocked(0.01)
            nursery.cancel_scope.cancel()
        assert loop.relay.attempts == [Attempt.CUT]


# Guards against a number that is no status, for which callers have no meaning.
@pytest.mark.parametrize(
    'start',
    [
        b'HTTP/1.1 000 OK',
        b'HTTP/1.1 600 OK',
        b'HTTP/1.1 999 OK',
        b'HTTP/0.9 200 OK',
        b'HTTP/2.0 200 OK',
        b'HTTP/1.1 101 OK\r\nConnection: Upgrade\r\nUpgrade: h2c',
    ],
)
async def test_answer_that_has_no_http_status_is_refused(start):
    raw = start + b'\r\nContent-Length: 3\r\n\r\nabc'
    async with trio.open_nursery() as nursery:
        loop = Loopback(answers(raw), nursery)
        client = await loop.start()
        response = await client.request(b'GET', b'/', _FIELDS)
        assert response.status == 502
        nursery.cancel_scope.cancel()


async def test_answer_without_an_end_is_refused():
    async with trio.open_nursery() as nursery:
        loop = Loopback(answers(_OK + b'\r\nabc', is_kept=False), nursery)
        client = await loop.start()
        response = await client.request(b'GET', b'/', _FIELDS)
        assert response.status == 502
        nursery.cancel_scope.cancel()
    assert loop.relay.attempts == [Attempt.NO_ANSWER]


async def test_interim_answers_without_end_are_refused():
    async def answer_forever(stream, _received):
        with suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(b'HTTP/1.1 100 Continue\r\n\r\n')

    async with trio.open_nursery() as nursery:
        loop = Loopback(answer_forever, nursery)
        client = await loop.start()
        with trio.fail_after(5):
            response = await client.request(b'GET', b'/', _FIELDS)
        assert response.status == 502
        nursery.cancel_scope.cancel()
    assert loop.relay.attempts == [Attempt.NO_ANSWER]


async def test_answer_with_length_and_chunks_is_refused():
    both = (
        _OK
        + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'3\r\nabc\r\n0\r\n\r\n'
    )
    async with trio.open_nursery() as nursery:
        loop = Loopback(answers(both), nursery)
        client = await loop.start()
        response = await client.request(b'GET', b'/', _FIELDS)
        assert response.status == 502
        nursery.cancel_scope.cancel()


async def test_bodiless_answers_and_trailers_pass():
    trailers = (
        _OK
        + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
        + b'0\r\nDigest: d\r\nBoragetrestle-Run: not-run\r\n\r\n'
    )
    early = b'HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n'
    cases = (
        (b'HEAD', _OK + b'Content-Length: 9\r\n\r\n', 0),
        (b'GET', b'HTTP/1.1 204 No Content\r\n\r\n', 0),
        (b'GET', b'HTTP/1.1 304 Not Modified\r\nETag: e\r\n\r\n', 0),
        (b'GET', early + trailers, 1),
    )
    for method, answer, early_heads in cases:
        async with trio.open_nursery() as nursery:
            loop = Loopback(answers(answer), nursery)
            client = await loop.start()
            for _ in range(2):
                interim: list[object] = []
                await client.send_head(method, b'/', _FIELDS)
                await client.send_end()
                response = await client.receive_head(interim.append)
                whole = await response.read()
                assert whole == b'abc' * early_heads
                assert len(interim) == early_heads
                client.start_next()
            assert response.trailers == [(b'digest', b'd')] * early_heads
            nursery.cancel_scope.cancel()
        assert loop.target.connections == 1


async def test_early_answer_comes_back_while_the_body_is_sent():
    early = b'HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno'

    async def answer_once(stream, _received):
        await stream.send_all(early)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        loop = Loopback(answer_once, nursery)
        client = await loop.start()
        fields = [*_FIELDS, (b'content-length', b'100000000')]
        await client.send_head(b'POST', b'/', fields)
        await client.send_data(b'x' * 100_000)
        with trio.fail_after(5):
            response = await client.receive_head()
            assert await response.read() == b'no'
        nursery.cancel_scope.cancel()
    assert response.status == 403
    assert not loop.relay.pool.idle[loop.relay.target]


async def test_stale_and_talkative_connections_are_not_used():
    answer = _OK + b'Content-Length: 2\r\n\r\nok'
    unasked = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong'

    async def speak_later(stream, _received):
        await stream.send_all(answer)
        await trio.sleep(0.05)
        await stream.send_all(unasked)
        return True

    async def close_later(stream, _received):
        await stream.send_all(answer)
        await trio.sleep(0.05)
        return False

    for script in (speak_later, close_later):
        async with trio.open_nursery() as nursery:
            loop = Loopback(script, nursery)
            client = await loop.start()
            for _ in range(3):
                response = await client.request(b'GET', b'/', _FIELDS)
                assert await response.read() == b'ok'
                client.start_next()
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert loop.relay.attempts == [Attempt.ANSWERED] * 3
        assert loop.target.connections == 3


async def test_bytes_after_an_answer_reach_no_other_call():
    double = _OK + b'Content-Length: 2\r\n\r\nok'
    async with trio.open_nursery() as nursery:
        loop = Loopback(answers(double + double), nursery)
        client = await loop.start()
        for _ in range(2):
            response = await client.request(b'GET', b'/', _FIELDS)
            await response.read()
            client.start_next()
        nursery.cancel_scope.cancel()
    assert loop.target.connections == 2


async def test_hang_up_closes_the_connection_below():
    closed = trio.Event()

    async def wait_for_close(stream, _received):
        assert await stream.receive_some() == b''
        closed.set()
        return False

    async with trio.open_nursery() as nursery:
        loop = Loopback(wait_for_close, nursery)
        client = await loop.start()
        await client.send_head(b'GET', b'/', _FIELDS)
        await client.send_end()
        await trio.sleep(0.1)
        await client.aclose()
        with trio.fail_after(1):
            await closed.wait()
        nursery.cancel_scope.cancel()
    assert not loop.relay.attempts


async def test_large_bodies_stream_in_bounded_memory():
    total = 100 * _MEGABYTE
    parts = total // len(_PART)

    async def echo_size(stream, received):
        left = total - (len(received) - received.index(b'\r\n\r\n') - 4)
        while left > 0:
            left -= len(await stream.receive_some(65_536))
        await stream.send_all(_OK + b'Content-Length: %d\r\n\r\n' % total)
        for _ in range(parts):
            await stream.send_all(_PART)
        return True

    async with trio.open_nursery() as nursery:
        loop = Loopback(echo_size, nursery)
        client = await loop.start()
        fields = [*_FIELDS, (b'content-length', b'%d' % total)]
        tracemalloc.start()
        await client.send_head(b'POST', b'/', fields)
        for _ in range(parts):
            await client.send_data(_PART)
        await client.send_end()
        response = await client.receive_head()
        sizes = [len(chunk) async for chunk in response.chunks()]
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        nursery.cancel_scope.cancel()
    assert sum(sizes) == total
    assert peak < 4 * _MEGABYTE


async def test_slow_reader_holds_back_the_target():
    sent = 0

    async def send_without_end(stream, _received):
        nonlocal sent
        await stream.send_all(_OK + b'Transfer-Encoding: chunked\r\n\r\n')
        while True:
            await stream.send_all(b'c350\r\n' + _PART + b'\r\n')
            sent += len(_PART)

    async with trio.open_nursery() as nursery:
        loop = Loopback(send_without_end, nursery)
        client = await loop.start()
        await client.request(b'GET', b'/', _FIELDS)
        await trio.sleep(0.5)
        first = sent
        await trio.sleep(0.5)
        assert sent == first
        nursery.cancel_scope.cancel()


async def test_hang_up_reaches_the_deepest_target(autojump_clock):
    text = service_text(
        service('walks', 'gate', routes=(READ,)),
        service('gate', routes=(READ,)),
    )
    plans = [
        HostPlan('walks', onward=(OnwardCall('GET', '/gate/items/1'),)),
        HostPlan('gate', work=60),
    ]
    async with running_fleet(plans, text=text) as run:
        walks, gate = run.fleet.hosts
        with trio.move_on_after(2):
            await run.fleet.call(walks, _PATH, key=run.key)
        assert gate.target.calls.total() == 1
        await trio.sleep(0.01)
        assert gate.target.running == 0 == walks.target.running


async def test_slow_body_holds_no_slot(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        host = run.fleet.hosts[0]
        stream = await run.network.dial(host.calls_address)
        await stream.send_all(
            b'POST /walks/orders HTTP/1.1\r\nHost: a\r\n'
            b'Authorization: Bearer %s\r\n'
            b'Content-Length: 500\r\n\r\nx' % run.key.encode()
        )
        await trio.sleep(5)
        assert host.target.calls.total() == 0
        assert not any(host.node.in_flight.values())
        answer = await read_all(stream)
    assert b'408' in answer or b'504' in answer
