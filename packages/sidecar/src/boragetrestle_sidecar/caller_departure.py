"""Notice callers that leave connections which the node does not read."""

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    import socket


def has_departed(transport: 'asyncio.BaseTransport') -> bool:
    """Return whether the other end of an open connection has closed its side.

    The event loop does not tell of a connection that it does not read.
    """
    opened: socket.socket = transport.get_extra_info('socket')
    descriptor = opened.fileno()
    if descriptor < 0:
        return False  # closed on this side
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poller.poll(0))
