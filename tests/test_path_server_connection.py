"""Answers on a keep-alive connection reach their own request or none."""

from typing import Any

import pytest
from path_builders import answer_bytes, open_connection

from boragetrestle_kernel.ids import RequestId
from boragetrestle_sidecar.server_connection import Loss, ServerConnection
from boragetrestle_sidecar.target_answer import TargetAnswer


class Listener:
    """Record how an exchange ended."""

    def __init__(self) -> None:
        self.answers: list[TargetAnswer] = []
        self.losses: list[Loss] = []

    @property
    def bodies(self) -> list[bytes]:
        """The bodies of all answers."""
        return [answer.body for answer in self.answers]

    def answered(self, answer: TargetAnswer) -> None:
        """Record the answer."""
        self.answers.append(answer)

    def lost(self, loss: Loss) -> None:
        """Record the loss."""
        self.losses.append(loss)


def exchange(
    request_id: str = 'r-1',
) -> tuple[ServerConnection, Any, Listener]:
    """Start an exchange on an open connection."""
    connection, transport = open_connection()
    listener = Listener()
    connection.exchange(b'GET', listener, RequestId(request_id.encode()))
    return connection, transport, listener


def test_whole_answer_keeps_the_connection() -> None:
    """A clean exchange leaves the connection usable for the next."""
    connection, _transport, listener = exchange()
    connection.data_received(answer_bytes('r-1'))
    assert listener.bodies == [b'whole']
    assert connection.is_usable


def test_answer_in_pieces() -> None:
    """The bytes may arrive in segments of any size."""
    connection, _transport, listener = exchange()
    for byte in answer_bytes('r-1'):
        connection.data_received(bytes((byte,)))
    assert listener.bodies == [b'whole']


def test_late_answer_of_an_earlier_request_is_passed_over() -> None:
    """The echoed id tells which request an answer belongs to."""
    connection, _transport, listener = exchange('r-2')
    connection.data_received(answer_bytes('r-1', b'other'))
    assert not listener.bodies
    connection.data_received(answer_bytes('r-2', b'own'))
    assert listener.bodies == [b'own']


def test_second_answer_spoils_the_connection() -> None:
    """A connection on which an unexpected answer came is not reused."""
    connection, transport, listener = exchange()
    connection.data_received(answer_bytes('r-1') + answer_bytes('r-1', b'x'))
    assert listener.bodies == [b'whole']
    assert not connection.is_usable
    assert transport.is_closed


# Guards against whole answers that are lost for bytes in the same segment.
@pytest.mark.parametrize('header', [b'', b'connection: close\r\n'])
@pytest.mark.parametrize('extra', [b'HTTP/1.1 200', b'garbage', b'\x00'])
def test_bytes_after_an_answer_spoil_the_connection(
    extra: bytes,
    header: bytes,
) -> None:
    """Such bytes belong to no request; the answer before them is whole."""
    connection, transport, listener = exchange()
    connection.data_received(answer_bytes('r-1', extra=header) + extra)
    assert listener.bodies == [b'whole']
    assert not listener.losses
    assert not connection.is_usable
    assert transport.is_closed


# Guards against a whole answer that its trailers turn into "not run".
def test_trailers_are_no_headers() -> None:
    """What they state belongs to no head."""
    connection, _transport, listener = exchange()
    connection.data_received(
        b'HTTP/1.1 200 OK\r\ncall-id: r-1\r\ntransfer-encoding: chunked\r\n'
        b'\r\n5\r\nwhole\r\n0\r\nnot-run: 1\r\nkeep-alive: timeout=1\r\n\r\n'
    )
    (answer,) = listener.answers
    assert answer.body == b'whole'
    assert answer.header(b'not-run') is None
    assert connection.is_usable


def test_bytes_on_an_idle_connection_close_it() -> None:
    """The next request must not get them."""
    connection, transport, _listener = exchange()
    connection.data_received(answer_bytes('r-1'))
    connection.data_received(answer_bytes('r-1'))
    assert transport.is_closed


def test_cut_answer_is_lost() -> None:
    """An answer that ends early is not passed on."""
    connection, _transport, listener = exchange()
    connection.data_received(answer_bytes('r-1')[:-1])
    connection.eof_received()
    connection.connection_lost(None)
    assert listener.losses == [Loss.CLOSED]
    assert not listener.bodies


def test_answer_without_length_ends_with_an_orderly_close() -> None:
    """It is complete only if the connection was closed properly."""
    head = b'HTTP/1.1 200 OK\r\ncall-id: r-1\r\n\r\n'
    connection, _transport, listener = exchange()
    connection.data_received(head + b'all')
    connection.eof_received()
    assert listener.bodies == [b'all']


def test_answer_without_length_that_is_reset_is_lost() -> None:
    """A reset may have truncated it."""
    connection, _transport, listener = exchange()
    connection.data_received(b'HTTP/1.1 200 OK\r\ncall-id: r-1\r\n\r\npart')
    connection.connection_lost(ConnectionResetError())
    assert listener.losses == [Loss.CLOSED]


def test_bytes_that_are_no_answer_are_lost() -> None:
    """Malformed bytes are never passed on."""
    connection, _transport, listener = exchange()
    connection.data_received(b'\x00\x01 no http')
    assert listener.losses == [Loss.GARBLED]


# Guards against "HTTP/1.1 7 Unknown" for a caller.
@pytest.mark.parametrize(
    'status', [b'000', b'007', b'099', b'600', b'700', b'999']
)
@pytest.mark.parametrize('framing', [b'', b'content-length: 0\r\n'])
def test_number_that_is_no_status_is_no_answer(
    status: bytes,
    framing: bytes,
) -> None:
    """The parser takes any three digits."""
    connection, _transport, listener = exchange()
    connection.data_received(
        b'HTTP/1.1 %s OK\r\ncall-id: r-1\r\n%s\r\n' % (status, framing)
    )
    connection.eof_received()
    assert listener.losses == [Loss.GARBLED]
    assert not listener.answers


# Guards against bytes of another protocol that callers get as an answer.
@pytest.mark.parametrize(
    'protocol',
    [b'HTTP/0.9', b'HTTP/2.0', b'HTTP/3.0', b'RTSP/1.0', b'ICE/1.1'],
)
@pytest.mark.parametrize('part_bytes', [1, 1000])
def test_response_of_another_protocol_is_no_answer(
    protocol: bytes,
    part_bytes: int,
) -> None:
    """The parser takes several, and other versions of HTTP."""
    connection, _transport, listener = exchange()
    sent = answer_bytes('r-1').replace(b'HTTP/1.1', protocol)
    assert sent.startswith(protocol)
    for start in range(0, len(sent), part_bytes):
        connection.data_received(sent[start : start + part_bytes])
    assert listener.losses == [Loss.GARBLED]
    assert not listener.answers


@pytest.mark.parametrize('part_bytes', [1, 3, 1000])
def test_answer_of_an_older_server_is_taken(part_bytes: int) -> None:
    """In parts of any size, behind an empty line and an interim answer."""
    connection, _transport, listener = exchange()
    sent = b'\r\nHTTP/1.1 100 Continue\r\n\r\n' + answer_bytes('r-1').replace(
        b'HTTP/1.1', b'HTTP/1.0'
    )
    for start in range(0, len(sent), part_bytes):
        connection.data_received(sent[start : start + part_bytes])
    assert listener.bodies == [b'whole']


def test_answer_before_the_request_was_taken_closes_the_connection() -> None:
    """The rest of that request is still on its way."""
    connection, transport, listener = exchange()
    transport.unflushed = 10
    connection.data_received(answer_bytes('r-1'))
    assert listener.bodies == [b'whole']
    assert not connection.is_usable


def test_interim_answer_is_passed_over() -> None:
    """100 Continue is not the final answer."""
    connection, _transport, listener = exchange()
    connection.data_received(b'HTTP/1.1 100 Continue\r\n\r\n')
    connection.data_received(answer_bytes('r-1'))
    assert listener.bodies == [b'whole']


def test_connection_header_close_is_honoured() -> None:
    """A server that will close the connection announces it."""
    connection, _transport, _listener = exchange()
    connection.data_received(
        answer_bytes('r-1', extra=b'connection: close\r\n')
    )
    assert not connection.is_usable
