"""A small HTTP/1.1 server and caller for the soak's own side."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

MAX_HEAD_BYTES = 65536


@dataclass(slots=True)
class Message:
    """A request or an answer; header names are in lower case."""

    first: list[str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """An answer whose last part is sent again until the connection ends."""

    start: bytes
    part: bytes


Handler = Callable[[Message], Awaitable[bytes | EndlessAnswer | None]]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a length; raise ``EOFError`` when it is cut."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    pairs = (line.split(':', 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(first.split(' ', 2), headers, body)


def answer_of(status: int, body: bytes = b'', **headers: str) -> bytes:
    """Return the bytes of an answer; ``_`` in names stands for ``-``."""
    lines = [f'HTTP/1.1 {status} {HTTPStatus(status).phrase}']
    lines += [
        f'{name.replace("_", "-")}: {value}' for name, value in headers.items()
    ]
    lines += [f'content-length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Answer requests; ``None`` from the handler closes the connection."""

    async def talk(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while answer := await handler(await read_message(reader)):
                await _send(writer, answer)
        except (OSError, EOFError, asyncio.CancelledError):
            return  # the caller has gone, or the server is closed
        finally:
            writer.transport.abort()

    return await asyncio.start_server(talk, host, port, limit=MAX_HEAD_BYTES)


async def _send(
    writer: asyncio.StreamWriter,
    answer: bytes | EndlessAnswer,
) -> None:
    writer.write(answer if isinstance(answer, bytes) else answer.start)
    await writer.drain()
    while isinstance(answer, EndlessAnswer):
        writer.write(answer.part)
        await writer.drain()


async def call(
    address: tuple[str, int],
    request: bytes,
    *,
    seconds: float,
) -> Message:
    """Send a request on a connection of its own and return the answer."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request)
            return await read_message(reader)
        finally:
            writer.transport.abort()
