"""Socket options of connections between nodes."""

import asyncio
import socket

# A peer that has lost power or is cut off sends no reset, so the kernel closes
# the connection once sent bytes stay unacknowledged for this long. Statuses are
# sent several times within it.
USER_TIMEOUT_MS = 2000


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close a connection whose peer acknowledges nothing."""
    link: socket.socket = transport.get_extra_info('socket')
    link.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        USER_TIMEOUT_MS,
    )
