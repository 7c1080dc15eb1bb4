"""Serve the platform's HTTP interface from embedded stores.

A request to ``/faults`` sets the faults of the stores from its JSON body.
"""

from http import HTTPStatus
from typing import Any

import msgspec

from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_platform.http_messages import (
    COMMIT_PATH,
    OBJECT_PATH,
    READ_PATH,
    SCAN_PATH,
    ReadBody,
    ScanBody,
)
from boragetrestle_platform.platform import Platform
from boragetrestle_platform.table import Transaction
from boragetrestle_standin.faults import StoreFaults, replace_faults

FAULTS_PATH = b'/faults'

_JSON = [(b'content-type', b'application/json')]


class PlatformServer:
    """Answer requests for a table and an object store."""

    def __init__(
        self,
        platform: Platform,
        faults: StoreFaults | None = None,
    ) -> None:
        self.platform = platform
        self.faults = faults or StoreFaults()

    async def handle(
        self,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Answer one request; a store fault closes the connection."""
        body = await request.read()
        if request.target == FAULTS_PATH:
            replace_faults(self.faults, body)
            await connection.answer(HTTPStatus.OK.value, _JSON, b'{}')
            return
        try:
            if request.target.startswith(OBJECT_PATH):
                await self._answer_object_request(request, connection, body)
            else:
                answer = await self._call_table(request.target, body)
                raw = msgspec.json.encode(answer)
                await connection.answer(HTTPStatus.OK.value, _JSON, raw)
        except StoreError:
            await connection.aclose()

    async def _call_table(self, path: bytes, body: bytes) -> Any:
        table = self.platform.table
        if path == READ_PATH:
            return await table.read(
                msgspec.json.decode(body, type=ReadBody).keys,
            )
        if path == COMMIT_PATH:
            return await table.commit(
                msgspec.json.decode(body, type=Transaction),
            )
        if path != SCAN_PATH:
            raise StoreError(f'the table has no path {path!r}')
        scan = msgspec.json.decode(body, type=ScanBody)
        return await table.scan(
            scan.prefix,
            after=scan.after,
            limit=scan.limit,
        )

    async def _answer_object_request(
        self,
        request: HttpRequest,
        connection: HttpServerConnection,
        body: bytes,
    ) -> None:
        name = request.target.removeprefix(OBJECT_PATH).decode()
        objects = self.platform.objects
        content: bytes | None = b''
        if request.method == b'PUT':
            await objects.put(name, body)
        elif request.method == b'DELETE':
            await objects.delete(name)
        else:
            content = await objects.get(name)
        status = HTTPStatus.NOT_FOUND if content is None else HTTPStatus.OK
        await connection.answer(status.value, [], content or b'')
