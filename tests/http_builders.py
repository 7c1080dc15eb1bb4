"""Builders of HTTP connections for tests."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.http_limits import DEFAULT_LIMITS, HttpLimits
from boragetrestle_kernel.http_request import HttpRequest
from boragetrestle_kernel.http_server import (
    HttpServerConnection,
    RequestHandler,
)
from boragetrestle_kernel.memory_network import MemoryNetwork

ADDRESS = Address('127.0.0.1', 80)

ConnectionScript = Callable[[trio.abc.Stream, bytes], Awaitable[bool]]


class RecordingHandler:
    """Answer every request with 200 and record its method and body."""

    def __init__(self) -> None:
        self.seen: list[tuple[bytes, bytes]] = []

    async def __call__(
        self,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Answer one request."""
        body = await request.read()
        self.seen.append((request.method, body))
        await connection.answer(200, [], b'ok')


@asynccontextmanager
async def serve_connection(
    handler: RequestHandler,
    *,
    limits: HttpLimits = DEFAULT_LIMITS,
) -> AsyncGenerator[trio.abc.HalfCloseableStream, None]:
    """Serve one connection; yield the client's stream of it."""
    network = MemoryNetwork()
    listener = await network.listen(ADDRESS)

    async def accept(stream: trio.abc.Stream) -> None:
        connection = HttpServerConnection(stream, limits=limits)
        network.watch(stream, connection.handle_caller_close)
        await connection.serve(handler)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, accept, [listener])
        stream = await network.dial(ADDRESS)
        assert isinstance(stream, trio.abc.HalfCloseableStream)
        yield stream
        nursery.cancel_scope.cancel()


async def read_all(stream: trio.abc.ReceiveStream) -> bytes:
    """Return all bytes until end of file."""
    received = b''
    with trio.fail_after(120):
        while True:
            part = await stream.receive_some()
            if not part:
                return received
            received += part


class RawTarget:
    """Accept connections and run a script on each.

    A script gets the stream and the bytes just received; it returns whether the
    connection stays open.
    """

    def __init__(self, script: ConnectionScript) -> None:
        self.script = script
        self.connections = 0
        self.requests: list[bytes] = []

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Run the script on one connection."""
        self.connections += 1
        while True:
            try:
                received = await stream.receive_some()
            except trio.BrokenResourceError:
                return
            if not received:
                return
            self.requests.append(bytes(received))
            if not await self.script(stream, bytes(received)):
                await stream.aclose()
                return


def answers(*parts: bytes, is_kept: bool = True) -> ConnectionScript:
    """Build a script that sends all parts after each receive."""

    async def script(stream: trio.abc.Stream, _received: bytes) -> bool:
        for part in parts:
            await stream.send_all(part)
        return is_kept

    return script
