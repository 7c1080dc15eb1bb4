"""Socket options of connections between nodes."""

import asyncio
import socket

# A peer that has lost power or is cut off sends no reset: unacknowledged bytes
# end the connection after this. Status is sent several times as often.
UNACKNOWLEDGED_MS = 2000


def tune_link(transport: asyncio.BaseTransport) -> None:
    """Let a silent peer end the connection."""
    link: socket.socket = transport.get_extra_info('socket')
    link.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_MS,
    )
