"""Compare request parsing with h11 on mutated requests."""

import random

import h11
import pytest
from entry_builders import request_bytes

from boragetrestle_kernel.errors import CallerError, HeadTooLargeError
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.request_reader import RequestReader

_FRAGMENTS = (
    b'\r\n',
    b'\n',
    b'\r',
    b' ',
    b'\t',
    b':',
    b'\x00',
    b'Content-Length: 3\r\n',
    b'Content-Length: 30\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: identity\r\n',
    b'transfer-encoding : chunked\r\n',
    b'GET /x HTTP/1.1\r\n',
)


def parse_with_h11(sent: bytes) -> list[tuple[bytes, bytes, bytes]] | None:
    """Return method, target and body of each request, as h11 reads them."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(sent)
    found: list[tuple[bytes, bytes, bytes]] = []
    try:
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                found.append((event.method, event.target, b''))
            elif isinstance(event, h11.Data):
                method, target, body = found.pop()
                found.append((method, target, body + bytes(event.data)))
            elif isinstance(event, h11.EndOfMessage):
                return found
            else:
                return []
    except h11.RemoteProtocolError:
        return None


def mutate_request(chance: random.Random) -> bytes:
    """Return a request with some fragments inserted or bytes removed."""
    sent = request_bytes(
        method='POST',
        extra='Content-Length: 3\r\n',
        body='abc',
    )
    for _ in range(chance.randint(1, 3)):
        place = chance.randrange(len(sent))
        if chance.random() < 0.7:
            inserted, removed_bytes = chance.choice(_FRAGMENTS), 0
        else:
            inserted, removed_bytes = b'', chance.randint(1, 4)
        sent = b''.join((sent[:place], inserted, sent[place + removed_bytes :]))
    return sent


@pytest.mark.parametrize('seed', range(10))
def test_no_request_is_read_otherwise_than_by_h11(seed: int) -> None:
    """A request that both accept has the same method, target and body.

    Bytes that h11 refuses may be accepted only when they don't change where
    the request ends, which the next requests would show.
    """
    chance = random.Random(seed)
    compared = 0
    for _ in range(400):
        sent = mutate_request(chance)
        reader = RequestReader(CallerLimits())
        try:
            reader.feed(sent)
        except CallerError:
            continue
        expected = parse_with_h11(sent)
        if not expected or not reader.ready:
            continue
        first = reader.ready[0]
        compared += 1
        assert (first.method, first.request_target, first.body) == expected[
            0
        ], sent
    assert compared > 10


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: chunked, identity\r\n',
        b'Content-Length: 3, 4\r\n',
        b'Content-Length: 0x3\r\n',
        b'Content-Length : 3\r\n',
        b'Transfer-Encoding\x00: chunked\r\n',
    ],
)
def test_framing_that_two_readers_could_read_otherwise_is_refused(
    framing: bytes,
) -> None:
    """Each of these framings is a known request smuggling attack."""
    reader = RequestReader(CallerLimits())
    sent = b'POST / HTTP/1.1\r\nHost: x\r\n' + framing + b'\r\nabc'
    with pytest.raises(CallerError):
        reader.feed(sent)


def test_bounds_on_head_and_body_are_kept() -> None:
    """A caller can't exhaust a node's memory."""
    limits = CallerLimits(header_bytes=100, body_bytes=10)
    for sent in (
        b'GET / HTTP/1.1\r\nLong: ' + b'x' * 200 + b'\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n' + b'x' * 11,
    ):
        with pytest.raises(CallerError):
            RequestReader(limits).feed(sent)


def test_head_that_never_ends_is_refused() -> None:
    """The bytes of a long header are bounded before its end arrives."""
    reader = RequestReader(CallerLimits(header_bytes=1000))
    reader.feed(b'GET / HTTP/1.1\r\nLong: ')
    with pytest.raises(CallerError):
        for _ in range(50):
            reader.feed(b'x' * 100)


# Guards against trailers that fill the memory, since no body counts them.
@pytest.mark.parametrize(
    ('start', 'endless'),
    [
        (b'0\r\na: ', b'x'),
        (b'0\r\n', b'x'),
        (b'3;a=', b'x'),
        (b'', b'0'),
        (b'3\r\nabc\r\n', b'1;a=%s\r\nx\r\n' % (b'b' * 20)),
    ],
)
def test_framing_that_never_ends_is_refused(
    start: bytes,
    endless: bytes,
) -> None:
    """It is bounded by the length of a head beside that of the body."""
    reader = RequestReader(CallerLimits(header_bytes=1000))
    reader.feed(b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n')
    reader.feed(start)
    with pytest.raises(HeadTooLargeError):
        for _ in range(50):
            reader.feed(endless * 100)


def test_small_chunks_and_requests_behind_them_are_no_endless_framing() -> None:
    """Only the framing of the request that is read counts."""
    reader = RequestReader(CallerLimits(header_bytes=1000))
    reader.feed(b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n')
    for _ in range(50):
        reader.feed(b'1\r\nx\r\n' * 100)
    reader.feed(b'0\r\n\r\n' + request_bytes() * 50)
    assert len(reader.ready) == 51
