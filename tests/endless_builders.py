"""Targets that send without end, and callers that upload or wait for answers."""

import asyncio
import re
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NoReturn

from entry_builders import request_bytes
from memory_process import NODE_IPS

TARGET_PORT = 7001
CALLER_PORT = 7002
PART_BYTES = 100_000
UPLOAD_BYTES = 60_000_000
CALL_SECONDS = 20.0
_PART = b'x' * PART_BYTES
LARGE_ANSWER_BYTES = 15_000_000
SLOW_READER_BUFFER_BYTES = 65_536
_HEAD = b'HTTP/1.1 200 OK\r\ncall-id: %s\r\nseal: s\r\n'
# How an endless answer is framed: the rest of its head and each part.
ENDLESS_FRAMINGS = {
    'length': (b'content-length: 99999999999\r\n\r\n', _PART),
    'chunks': (
        b'transfer-encoding: chunked\r\n\r\n',
        b'%x\r\n%s\r\n' % (PART_BYTES, _PART),
    ),
    'end of the connection': (b'\r\n', _PART),
}
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
_SHORT_ANSWER = b'HTTP/1.1 200 OK\r\ncall-id: x\r\ncontent-length: 0\r\n\r\n'
# Answers whose heads, framing or trailers are endless: their start, into which
# the id of the request goes, and each part.
ENDLESS_HEADS = {
    'reason phrase': (b'HTTP/1.1 200 ', _PART),
    'header': (_HEAD + b'a: ', _PART),
    'headers': (_HEAD, b'a: b\r\n' * 10_000),
    'interim answers': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 4000),
    'interim header': (b'HTTP/1.1 103 Early Hints\r\na: ', _PART),
    'chunk size': (_CHUNKED, b'0' * PART_BYTES),
    'chunk extension': (_CHUNKED + b'5;a=', _PART),
    'small chunks': (_CHUNKED, b'1;a=bcdef\r\nx\r\n' * 6000),
    'trailer': (_CHUNKED + b'0\r\na: ', _PART),
    'trailers': (_CHUNKED + b'0\r\n', b'a: b\r\n' * 10_000),
    'answers to others': (b'', _SHORT_ANSWER * 2000),
    'noise': (b'', b'\x00\xff' * (PART_BYTES // 2)),
}


class RawTarget:
    """A target that reads requests and answers with raw bytes.

    Requests whose path contains ``endless`` get an answer without end in the
    framing that ``framing`` names, those with ``large`` a whole one of
    ``LARGE_ANSWER_BYTES``, and all others get ``whole``.
    """

    def __init__(self) -> None:
        self.framing = 'length'

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                await self._answer(reader, writer)
        except (OSError, EOFError):
            writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        length = re.search(rb'content-length: (\d+)', head)
        left = int(length[1]) if length else 0
        while left:
            part = await reader.read(min(left, PART_BYTES))
            if not part:
                raise EOFError  # the node has cancelled the run
            left -= len(part)
        found = re.search(rb'call-id: (\S+)', head, re.IGNORECASE)
        assert found is not None
        start_line = head.split(b'\r\n')[0]
        if b'endless' in start_line and self.framing in ENDLESS_HEADS:
            await _write_endless(writer, found[1], *ENDLESS_HEADS[self.framing])
        writer.write(_HEAD % found[1])
        if b'large' in start_line:
            writer.write(b'content-length: %d\r\n\r\n' % LARGE_ANSWER_BYTES)
            for _ in range(0, LARGE_ANSWER_BYTES, PART_BYTES):
                writer.write(_PART)
                await writer.drain()
            return
        if b'endless' not in start_line:
            writer.write(b'content-length: 5\r\n\r\nwhole')
            return
        await _write_endless(writer, b'', *ENDLESS_FRAMINGS[self.framing])


async def _write_endless(
    writer: asyncio.StreamWriter,
    request_id: bytes,
    start: bytes,
    part: bytes,
) -> NoReturn:
    """Write until the node closes the connection, which raises ``OSError``."""
    writer.write(start.replace(b'%s', request_id))
    while True:
        writer.write(part)
        await writer.drain()


@asynccontextmanager
async def raw_targets() -> AsyncGenerator[list[RawTarget], None]:
    """Run a target beside each node."""
    targets = [RawTarget() for _ip in NODE_IPS]
    servers = [
        await asyncio.start_server(target.serve, ip, TARGET_PORT)
        for ip, target in zip(NODE_IPS, targets, strict=True)
    ]
    try:
        yield targets
    finally:
        for server in servers:
            server.close()


async def ask(name: str, path: str = '/walks/1') -> int:
    """Return the status of one request, 0 if its connection was closed."""
    sent = request_bytes(name, path=path, time_left=int(CALL_SECONDS * 1000))
    return await _exchange(name, sent, 0)


async def upload(name: str, *, is_chunked: bool = False) -> int:
    """Return the status of a large upload, 0 if its connection was closed."""
    framing = 'Transfer-Encoding: chunked\r\n'
    if not is_chunked:
        framing = f'Content-Length: {UPLOAD_BYTES}\r\n'
    sent = request_bytes(
        name,
        method='POST',
        path='/buy/1',
        extra=framing,
        time_left=int(CALL_SECONDS * 1000),
    )
    return await _exchange(name, sent, UPLOAD_BYTES, is_chunked=is_chunked)


async def ask_slowly(name: str, *, wait: float) -> int:
    """Return the status of a large answer that is read after ``wait`` seconds.

    Returns 0 if the answer was cut.
    """
    sent = request_bytes(
        name, path='/walks/large', time_left=int(CALL_SECONDS * 1000)
    )
    ip = NODE_IPS[len(name) % len(NODE_IPS)]
    reader, writer = await asyncio.open_connection(
        ip, CALLER_PORT, limit=SLOW_READER_BUFFER_BYTES
    )
    writer.write(sent)
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head.split()[1])
        if status == 200:
            await asyncio.sleep(wait)
            await reader.readexactly(LARGE_ANSWER_BYTES)
    except (OSError, EOFError):
        return 0
    finally:
        writer.close()
    return status


async def _exchange(
    name: str,
    head: bytes,
    size: int,
    *,
    is_chunked: bool = False,
) -> int:
    ip = NODE_IPS[len(name) % len(NODE_IPS)]
    reader, writer = await asyncio.open_connection(ip, CALLER_PORT)
    writer.write(head)
    part = b'%x\r\n%s\r\n' % (PART_BYTES, _PART) if is_chunked else _PART
    try:
        async with asyncio.timeout(CALL_SECONDS + 1):
            for _ in range(0, size, PART_BYTES):
                writer.write(part)
                await writer.drain()
            if is_chunked:
                writer.write(b'0\r\n\r\n')
            answer = await reader.readuntil(b'\r\n\r\n')
    except (OSError, EOFError):
        return 0
    finally:
        writer.close()
    return int(answer.split()[1])


async def together(
    count: int,
    start: Callable[[int], Awaitable[int]],
) -> list[int]:
    """Return the statuses of requests that are sent at the same time."""
    return list(
        await asyncio.gather(*[start(number) for number in range(count)])
    )
