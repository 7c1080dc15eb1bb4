"""The platform's store over HTTP on loopback, for reads of one table."""

import asyncio
import json
from base64 import b64encode
from collections.abc import Sequence
from urllib.parse import parse_qs, urlsplit

from path_standins import MemoryStore
from silent_sockets import silence

from boragetrestle_kernel.address import Address
from boragetrestle_platform.table import Row

_HEAD = b'HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n'


class StoreServer:
    """Serve whole reads and long polls of a store in memory."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.writers: list[asyncio.StreamWriter] = []
        self.silent_count = 0
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Where the store listens."""
        assert self.server is not None
        host, port = self.server.sockets[0].getsockname()
        return Address(host, port)

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)

    def stop(self) -> None:
        """Close the listener and all connections."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def silence_connections(self) -> None:
        """Let all open connections go silent; new ones work."""
        for writer in self.writers[self.silent_count :]:
            silence(writer.get_extra_info('socket')._sock)
        self.silent_count = len(self.writers)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.append(writer)
        number = len(self.writers)
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, OSError):
                return
            body = await self._answer(head.split()[1].decode())
            if number <= self.silent_count:
                return
            writer.write(_HEAD % len(body) + body)

    async def _answer(self, target: str) -> bytes:
        asked = urlsplit(target)
        query = {name: each[0] for name, each in parse_qs(asked.query).items()}
        if asked.path == '/rows-get':
            view = await self.store.view(query['Table'])
            return _encode(view.rows, view.position)
        changes = await self.store.changes(
            query['Table'],
            int(query['after']),
            wait=int(query['WaitMs']) / 1000,
        )
        return _encode(changes.written, changes.position)


def _encode(rows: Sequence[Row], position: int) -> bytes:
    found = [
        {
            'Key': row.key,
            'Value': b64encode(row.content).decode(),
            'Ver': row.version,
        }
        for row in rows
    ]
    return json.dumps({'Rows': found, 'Ver': position}).encode()
