"""Make open connections go silent, as when a middlebox forgets them."""

import ctypes
import socket
import struct

_SO_ATTACH_FILTER = 26  # Linux; Python's socket module has no name for it
_RETURN_ZERO_BYTES = struct.pack('HBBI', 6, 0, 0, 0)


def silence(connection: socket.socket) -> None:
    """Drop all packets that arrive for a connection.

    Its peer gets neither data nor acknowledgements nor a reset from then on,
    while new connections to the same address work.
    """
    instructions = ctypes.create_string_buffer(_RETURN_ZERO_BYTES)
    program = struct.pack('HL', 1, ctypes.addressof(instructions))
    connection.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
