"""Options and state of sockets: silent connections, bytes not taken yet.

A host that has lost power or is cut off sends no reset, and an open connection
may go silent for good although new ones work.
"""

import asyncio
import fcntl
import socket
import struct
import termios

# The kernel closes a connection between nodes once sent bytes stay
# unacknowledged for this long. Statuses are sent several times within it.
LINK_USER_TIMEOUT_MS = 2000
# Some retransmissions over a link that loses packets.
CALL_USER_TIMEOUT_MS = 1200
KEEPALIVE_SECONDS = 1  # the kernel counts whole seconds
KEEPALIVE_PROBES = 1
_COUNT = struct.Struct('i')


def set_user_timeout(
    transport: asyncio.BaseTransport,
    milliseconds: int = LINK_USER_TIMEOUT_MS,
) -> None:
    """Let the kernel close a connection whose peer acknowledges nothing."""
    _set(transport, socket.TCP_USER_TIMEOUT, milliseconds)


def set_keepalive(transport: asyncio.BaseTransport) -> None:
    """Let the kernel probe a connection that waits for the other end.

    A silent connection is closed at most two seconds after its last packet.
    """
    set_user_timeout(transport, CALL_USER_TIMEOUT_MS)
    _set(transport, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    _set(transport, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    _set(transport, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened: socket.socket = transport.get_extra_info('socket')
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes have come that the event loop has not read yet."""
    return _bytes_held(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many sent bytes the kernel holds for the other end.

    They are lost if the socket is closed while bytes wait to be read.
    """
    return _bytes_held(transport, termios.TIOCOUTQ)


def _bytes_held(transport: asyncio.BaseTransport, request: int) -> int:
    """Ask the kernel; where it does not tell, it counts as holding none."""
    opened: socket.socket = transport.get_extra_info('socket')
    descriptor = opened.fileno()
    if descriptor < 0:
        return 0  # closed
    try:
        held = fcntl.ioctl(descriptor, request, bytes(_COUNT.size))
    except OSError:
        return 0
    return int(_COUNT.unpack(held)[0])


def _set(transport: asyncio.BaseTransport, option: int, number: int) -> None:
    opened: socket.socket = transport.get_extra_info('socket')
    opened.setsockopt(socket.IPPROTO_TCP, option, number)
