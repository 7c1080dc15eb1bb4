"""Requests that are ambiguous, slow, too large or end early."""

import pytest
import trio
from http_builders import RecordingHandler, read_all, serve_connection

from boragetrestle_kernel.http_limits import HttpLimits

_HOST = b'Host: walks\r\n'
_AMBIGUOUS_REQUESTS = {
    'two lengths': (
        b'POST / HTTP/1.1\r\n'
        + _HOST
        + b'Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde'
    ),
    'same length twice': (
        b'POST / HTTP/1.1\r\n'
        + _HOST
        + b'Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc'
    ),
    'list of lengths': (
        b'POST / HTTP/1.1\r\n' + _HOST + b'Content-Length: 3, 3\r\n\r\nabc'
    ),
    'length with chunks': (
        b'POST / HTTP/1.1\r\n'
        + _HOST
        + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    ),
    'chunks in HTTP/1.0': (
        b'POST / HTTP/1.0\r\n'
        + _HOST
        + b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    ),
    'other coding': (
        b'POST / HTTP/1.1\r\n'
        + _HOST
        + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n'
    ),
    'bare line feed': b'GET / HTTP/1.1\nHost: walks\n\n',
    'bare line feed in a field': (
        b'GET / HTTP/1.1\r\nX-A: 1\nHost: walks\r\n\r\n'
    ),
    'folded line': (b'GET / HTTP/1.1\r\n' + _HOST + b'X-A: 1\r\n more\r\n\r\n'),
    'two hosts': b'GET / HTTP/1.1\r\n' + _HOST + _HOST + b'\r\n',
    'no host': b'GET / HTTP/1.1\r\n\r\n',
    'host that is no host': b'GET / HTTP/1.1\r\nHost: a/b\r\n\r\n',
    'space before colon': b'GET / HTTP/1.1\r\nHost : walks\r\n\r\n',
    'unknown version': b'GET / HTTP/3.7\r\n' + _HOST + b'\r\n',
    'no head': b'\x16\x03\x01\x02\x00\r\n\r\n',
}
_NEXT_REQUEST = b'GET /next HTTP/1.1\r\n' + _HOST + b'\r\n'


@pytest.mark.parametrize('fault', _AMBIGUOUS_REQUESTS)
async def test_ambiguous_request_is_refused_and_closed(autojump_clock, fault):
    recorder = RecordingHandler()
    async with serve_connection(recorder) as stream:
        await stream.send_all(_AMBIGUOUS_REQUESTS[fault] + _NEXT_REQUEST)
        answer = await read_all(stream)
    assert answer.startswith(b'HTTP/1.1 400 ')
    assert answer.count(b'HTTP/1.1') == 1
    assert not recorder.seen


async def test_pipelined_requests_are_answered_in_order(autojump_clock):
    recorder = RecordingHandler()
    post = b'POST / HTTP/1.1\r\n' + _HOST + b'Content-Length: 3\r\n\r\nabc'
    async with serve_connection(recorder) as stream:
        await stream.send_all(post + _NEXT_REQUEST)
        await trio.sleep(1)
        await stream.send_eof()
        answer = await read_all(stream)
    assert recorder.seen == [(b'POST', b'abc'), (b'GET', b'')]
    assert answer.count(b'HTTP/1.1 200') == 2


async def test_byte_a_second_of_a_head_is_closed(autojump_clock):
    recorder = RecordingHandler()
    async with serve_connection(recorder) as stream:
        started = trio.current_time()
        with pytest.raises((trio.BrokenResourceError, trio.TooSlowError)):
            with trio.fail_after(60):
                for byte in _NEXT_REQUEST * 9:
                    await stream.send_all(bytes([byte]))
                    await trio.sleep(1)
        taken = trio.current_time() - started
    assert taken < 13
    assert not recorder.seen


async def test_byte_a_second_of_a_body_is_closed(autojump_clock):
    recorder = RecordingHandler()
    head = b'POST / HTTP/1.1\r\n' + _HOST + b'Content-Length: 900\r\n\r\n'
    async with serve_connection(recorder) as stream:
        await stream.send_all(head)
        started = trio.current_time()
        with pytest.raises((trio.BrokenResourceError, trio.TooSlowError)):
            with trio.fail_after(60):
                for _ in range(900):
                    await stream.send_all(b'x')
                    await trio.sleep(1)
        taken = trio.current_time() - started
    assert taken < 13
    assert not recorder.seen


async def test_idle_connection_is_closed_without_an_answer(autojump_clock):
    async with serve_connection(
        RecordingHandler(), limits=HttpLimits(idle_seconds=5)
    ) as stream:
        assert await read_all(stream) == b''
        taken = trio.current_time()
    assert 5 <= taken < 6


async def test_large_head_and_body_are_refused(autojump_clock):
    limits = HttpLimits(head_bytes=1000, body_bytes=2000)
    long_head = b'GET / HTTP/1.1\r\n' + _HOST + b'X: ' + b'x' * 9000
    chunks = (
        b'POST / HTTP/1.1\r\n'
        + _HOST
        + b'Transfer-Encoding: chunked\r\n\r\nbb8\r\n'
        + b'x' * 3000
        + b'\r\n'
    )
    for request, status in ((long_head, b'400'), (chunks, b'413')):
        async with serve_connection(
            RecordingHandler(), limits=limits
        ) as stream:
            await stream.send_all(request)
            answer = await read_all(stream)
        assert answer.split(b' ')[1] == status


async def test_hang_up_cancels_the_handler(autojump_clock):
    cancelled = trio.Event()

    async def hang(_request, _connection):
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    async with serve_connection(hang) as stream:
        await stream.send_all(_NEXT_REQUEST)
        await trio.sleep(1)
        started = trio.current_time()
        await stream.aclose()
        with trio.fail_after(5):
            await cancelled.wait()
        assert trio.current_time() == started


async def test_unread_small_body_keeps_the_connection(autojump_clock):
    async def refuse(_request, connection):
        await connection.answer(429, [])

    post = b'POST / HTTP/1.1\r\n' + _HOST + b'Content-Length: 3\r\n\r\nabc'
    async with serve_connection(refuse) as stream:
        await stream.send_all(post + post)
        await trio.sleep(1)
        await stream.send_eof()
        answer = await read_all(stream)
    assert answer.count(b'429') == 2


async def test_old_callers_get_no_interim_heads(autojump_clock):
    async def hint_first(_request, connection):
        connection.queue_head(103, [(b'link', b'l')])
        await connection.answer(200, [], b'ok')

    heads = {b'HTTP/1.0': 0, b'HTTP/1.1': 1}
    for version, expected in heads.items():
        async with serve_connection(hint_first) as stream:
            head = b'GET / %s\r\nConnection: close\r\n' % version
            await stream.send_all(head + _HOST + b'\r\n')
            answer = await read_all(stream)
        assert answer.count(b' 103 ') == expected
        assert answer.count(b' 200 ') == 1


async def test_last_exchange_says_so(autojump_clock):
    async def answer_last(_request, connection):
        connection.close_after_exchange()
        await connection.answer(200, [], b'ok')

    async with serve_connection(answer_last) as stream:
        await stream.send_all(_NEXT_REQUEST + _NEXT_REQUEST)
        answer = await read_all(stream)
    assert b'connection: close' in answer.lower()
    assert answer.count(b'HTTP/1.1 200') == 1


# Guards against a second answer to a request that offers another protocol.
@pytest.mark.parametrize('protocol', [b'h2c', b'websocket', b'TLS/1.0, h2c'])
async def test_offer_of_another_protocol_is_ignored(autojump_clock, protocol):
    offer = b'Connection: Upgrade\r\nUpgrade: %s\r\n' % protocol
    post = b'POST / HTTP/1.1\r\n%s%sContent-Length: 3\r\n\r\nabc'
    recorder = RecordingHandler()
    async with serve_connection(recorder) as stream:
        await stream.send_all(post % (_HOST, offer) + post % (_HOST, b''))
        await trio.sleep(1)
        await stream.send_eof()
        answer = await read_all(stream)
    assert answer.count(b'HTTP/1.1 200') == answer.count(b'HTTP/1.1 ') == 2
    assert recorder.seen == [(b'POST', b'abc')] * 2
