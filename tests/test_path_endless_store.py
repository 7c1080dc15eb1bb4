"""A store in trouble that sends answers without end."""

import asyncio
import tracemalloc

import pytest

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import OutcomeUnknownError
from boragetrestle_sidecar.http_caller import HttpCaller

pytestmark = pytest.mark.loopback

CALLS = 16
CALL_SECONDS = 20.0
MAX_PEAK_BYTES = 40_000_000
_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n'
_PART = b'x' * 100_000


async def send_without_end(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer the first request of a connection."""
    try:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_HEAD)
        while True:
            writer.write(_PART)
            await writer.drain()
    except (OSError, EOFError):
        writer.close()


# Guards against calls that hold an answer of the largest size each.
def test_answers_without_end_to_calls_are_bounded_together() -> None:
    """Each call ends with an unknown outcome."""

    async def test() -> None:
        server = await asyncio.start_server(send_without_end, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        caller = HttpCaller(Address('127.0.0.1', port))
        calls = [
            caller.call('GET', '/rows', wait=CALL_SECONDS) for _ in range(CALLS)
        ]
        ended = await asyncio.gather(*calls, return_exceptions=True)
        assert {type(each) for each in ended} == {OutcomeUnknownError}
        server.close()

    tracemalloc.start()
    try:
        asyncio.run(test())
        _kept, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_PEAK_BYTES
