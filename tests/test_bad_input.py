"""Invalid input ends in a typed error or refusal and leaves nothing open."""

import socket

import cbor2
import msgspec
import pytest
import trio
import trio.testing
from builders import running_fleet
from http_builders import RecordingHandler, serve_connection
from hypothesis import given, settings
from hypothesis import strategies as st

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.context import (
    HEADER,
    CallContext,
    ContextSigner,
)
from boragetrestle_kernel.errors import ContextError, HttpError, WireError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.memory_stream import connect_hosts
from boragetrestle_kernel.network_faults import NetworkFaults
from boragetrestle_kernel.peer_message import unpack
from boragetrestle_node.main import run_program
from boragetrestle_standin.host_plan import HostPlan

_LINES = st.sampled_from([
    b'GET / HTTP/1.1\r\n',
    b'POST /x HTTP/1.1\r\n',
    b'GET / HTTP/1.0\r\n',
    b'Host: a\r\n',
    b'Host: b\r\n',
    b'Content-Length: 3\r\n',
    b'Content-Length: 5\r\n',
    b'Content-Length: -1\r\n',
    b'Content-Length: 99999999999999999999\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: identity\r\n',
    b'Expect: 100-continue\r\n',
    b'Connection: close\r\n',
    b'X: 1\r\n folded\r\n',
    b'X: 1\n',
    b'\r\n',
    b'abc',
    b'3\r\nabc\r\n0\r\n\r\n',
    b'\x00\xff',
])
_HEADS = st.lists(_LINES | st.binary(max_size=20), max_size=9).map(b''.join)
_CBOR = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text() | st.integers(), inner, max_size=4)
    ),
    max_leaves=10,
)
_AUTOJUMP_SECONDS = 0
_SIGNER = ContextSigner({1: b'secret'})
_CONTEXT = CallContext('c', 'org', 'k', 'walks', 1, 10.0, 3)


def _run(work, *arguments):
    """Run a function on a virtual clock, with a limit in virtual time."""

    async def bounded():
        with trio.fail_after(1000):
            return await work(*arguments)

    clock = trio.testing.MockClock(autojump_threshold=_AUTOJUMP_SECONDS)
    return trio.run(bounded, clock=clock)


async def _send(raw):
    """Send bytes to a server; return its answer once all tasks block."""
    async with serve_connection(RecordingHandler()) as stream:
        answered = b''
        try:
            await stream.send_all(raw)
            await stream.send_eof()
            while part := await stream.receive_some():
                answered += part
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            answered += b''
        await trio.testing.wait_all_tasks_blocked()
        return answered


@settings(max_examples=300)
@given(_HEADS)
def test_any_request_is_answered_or_closed(raw):
    answered = _run(_send, raw)
    for line in answered.split(b'\r\n'):
        if line.startswith(b'HTTP/1.1 '):
            assert line.split(b' ')[1] in {
                b'100',
                b'200',
                b'400',
                b'408',
                b'413',
            }


async def _receive(raw):
    near, far = connect_hosts('a', 'b', NetworkFaults())
    client = HttpClientConnection(near)
    await far.send_all(raw)
    await far.send_eof()
    try:
        response = await client.request(b'GET', b'/', [(b'host', b'a')])
        await response.read()
    except HttpError:
        return False
    return True


@settings(max_examples=300)
@given(
    st.lists(
        st.sampled_from([
            b'HTTP/1.1 200 OK\r\n',
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'HTTP/1.1 204 No\r\n',
            b'Content-Length: 3\r\n',
            b'Content-Length: x\r\n',
            b'Transfer-Encoding: chunked\r\n',
            b'\r\n',
            b'abc',
            b'3\r\nabc\r\n0\r\n\r\n',
        ])
        | st.binary(max_size=20),
        max_size=8,
    ).map(b''.join),
)
def test_any_answer_is_whole_or_a_typed_error(raw):
    _run(_receive, raw)


@given(st.binary(max_size=200) | _CBOR.map(cbor2.dumps))
def test_any_peer_message_is_typed_or_refused(raw):
    with pytest.raises(WireError):
        unpack(raw)


@given(
    st.binary(max_size=200)
    | st.integers(0).map(lambda number: b'%d.a.b' % number)
)
def test_any_context_header_is_refused(header):
    with pytest.raises(ContextError):
        _SIGNER.verify(header, now=0)


@given(st.data())
def test_any_changed_byte_breaks_a_context(data):
    good = _SIGNER.sign(_CONTEXT)
    place = data.draw(st.integers(0, len(good) - 1))
    byte = data.draw(st.integers(0, 255).filter(lambda new: new != good[place]))
    changed = good[:place] + bytes([byte]) + good[place + 1 :]
    with pytest.raises(ContextError):
        _SIGNER.verify(changed, now=0)


def test_long_secret_number_is_refused():
    with pytest.raises(ContextError):
        _SIGNER.verify(b'9' * 5000 + b'.a.b', now=0)


_ANNOUNCEMENTS = (
    b'',
    b'[]',
    b'{"service":"walks","address":"x","slots":1,"connections":1}',
    b'{"service":"walks","address":"1.1.1.1:1","slots":-1,"connections":1}',
    b'{"service":"walks","address":"1.1.1.1:1","slots":1}',
)


async def test_bad_announcements_are_refused(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        host = run.fleet.hosts[0]
        own = host.target.address.host
        admin = Address.parse(host.node.settings.listen.admin)
        for body in _ANNOUNCEMENTS:
            stream = await run.network.dial(admin, dialer=own)
            async with HttpClientConnection(stream) as connection:
                response = await connection.request(
                    b'POST', b'/v1/target', [(b'host', b'a')], body
                )
                assert response.status == 400
        answer = await run.fleet.call(host, '/walks/items/1', key=run.key)
    assert answer.status == 200


async def test_fault_of_one_call_leaves_the_node_running(
    autojump_clock,
    monkeypatch,
):
    async with running_fleet([HostPlan('walks')]) as run:
        host = run.fleet.hosts[0]
        with monkeypatch.context() as patch:
            patch.setattr(host.node.identifier, 'identify', _fail)
            with pytest.raises(HttpError):
                await run.fleet.call(host, '/walks/items/1', key=run.key)
        answer = await run.fleet.call(host, '/walks/items/1', key=run.key)
        await trio.sleep(0.01)
        connections = host.node.entry.connections
        assert (connections.faults, len(connections.open)) == (1, 0)
    assert answer.status == 200


def _fail(_request):
    raise ValueError('a fault of the code')


async def test_odd_context_headers_never_run_a_call(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        host = run.fleet.hosts[0]
        for shown in (b'1..', b'x.y.z', b'1.e30=.00', b'.' * 300):
            answer = await run.fleet.call(
                host,
                '/walks/items/1',
                fields=[(HEADER, shown)],
                caller=host.target.address.host,
            )
            assert answer.code == 'not-authorised'
        assert host.target.calls.total() == 0


def _node_settings(**changes):
    return {
        'node': 'n',
        'domain': 'a',
        'listen': {
            'calls': '127.0.0.1:0',
            'peers': '127.0.0.1:0',
            'admin': '127.0.0.1:0',
        },
        'platform': {'adapter': 'embedded'},
        'fleet_secrets': [{'env': 'BORAGETRESTLE_ABSENT'}],
        **changes,
    }


def _start_node(folder, content):
    path = folder / 'node.json'
    path.write_bytes(msgspec.json.encode(content))
    return run_program([str(path)])


def test_node_refuses_settings_with_the_remedy(tmp_path, capsys, monkeypatch):
    assert _start_node(tmp_path, _node_settings()) == 3
    assert "'BORAGETRESTLE_ABSENT' is absent" in capsys.readouterr().err
    assert _start_node(tmp_path, _node_settings(drain_timeout=-1)) == 3
    assert '$.drain_timeout: found -1' in capsys.readouterr().err
    assert run_program([str(tmp_path / 'absent')]) == 3
    monkeypatch.setenv('BORAGETRESTLE_ABSENT', 'secret')
    with socket.create_server(('127.0.0.1', 0)) as taken:
        port = taken.getsockname()[1]
        listen = {
            'calls': f'127.0.0.1:{port}',
            'peers': '127.0.0.1:0',
            'admin': '127.0.0.1:0',
        }
        assert _start_node(tmp_path, _node_settings(listen=listen)) == 3
    shown = capsys.readouterr().err
    assert f'no listener at 127.0.0.1:{port}' in shown
    assert 'Traceback' not in shown
