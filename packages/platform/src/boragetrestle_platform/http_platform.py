"""Reach the platform over its HTTP interface."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import (
    DialError,
    HttpError,
    OutcomeUnknownError,
    StoreError,
)
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.settings import PlatformSettings
from boragetrestle_platform.http_messages import (
    COMMIT_PATH,
    OBJECT_PATH,
    READ_PATH,
    SCAN_PATH,
    ReadBody,
    ScanBody,
)
from boragetrestle_platform.platform import Platform, adapter
from boragetrestle_platform.table import Committed, Rows, Transaction

_Answer = TypeVar('_Answer')
_REMEDY = 'check that the platform is reachable; the client tries again'


class HttpCaller:
    """Send requests to the platform on kept connections."""

    def __init__(
        self,
        network: Network,
        address: Address,
        *,
        timeout: float,
    ) -> None:
        self.network = network
        self.address = address
        self.timeout = timeout
        self.idle: list[HttpClientConnection] = []

    async def call(
        self,
        method: bytes,
        path: bytes,
        body: bytes = b'',
    ) -> tuple[int, bytes]:
        """Return status and body.

        Raises ``StoreError`` if nothing was sent, ``OutcomeUnknownError`` for a
        request without an answer within the timeout.
        """
        with trio.move_on_after(self.timeout):
            try:
                return await self._exchange(method, path, body)
            except DialError as error:
                raise StoreError(
                    f'the platform is away: {error}',
                    remedy=_REMEDY,
                ) from error
            except HttpError as error:
                raise OutcomeUnknownError(
                    f'the platform failed: {error}',
                    remedy=_REMEDY,
                ) from error
        raise OutcomeUnknownError(
            f'no answer from the platform for {self.timeout} s',
            remedy=_REMEDY,
        )

    async def _exchange(
        self,
        method: bytes,
        path: bytes,
        body: bytes,
    ) -> tuple[int, bytes]:
        connection = await self._connection()
        fields = [(b'host', str(self.address).encode())]
        try:
            response = await connection.request(method, path, fields, body)
            content = await response.read()
        except BaseException:
            await connection.aclose()
            raise
        if connection.is_reusable:
            connection.start_next()
            self.idle.append(connection)
        else:
            await connection.aclose()
        return response.status, content

    async def _connection(self) -> HttpClientConnection:
        if self.idle:
            return self.idle.pop()
        return HttpClientConnection(await self.network.dial(self.address))


class HttpTable:
    """The table service over HTTP."""

    def __init__(self, caller: HttpCaller) -> None:
        self.caller = caller

    async def read(self, keys: Sequence[str]) -> Rows:
        """Return the rows that exist among some keys."""
        return await self._post(READ_PATH, ReadBody(keys=tuple(keys)), Rows)

    async def scan(
        self,
        prefix: str,
        *,
        after: str = '',
        limit: int = 1000,
    ) -> Rows:
        """Return rows by prefix, in order of key, after a key."""
        body = ScanBody(prefix=prefix, after=after, limit=limit)
        return await self._post(SCAN_PATH, body, Rows)

    async def commit(self, transaction: Transaction) -> Committed:
        """Apply a transaction."""
        return await self._post(COMMIT_PATH, transaction, Committed)

    async def _post(
        self,
        path: bytes,
        body: Any,
        kind: type[_Answer],
    ) -> _Answer:
        raw = msgspec.json.encode(body)
        status, content = await self.caller.call(b'POST', path, raw)
        if status != HTTPStatus.OK:
            raise OutcomeUnknownError(
                f'the table answered {status}',
                remedy=_REMEDY,
            )
        try:
            return msgspec.json.decode(content, type=kind)
        except msgspec.DecodeError as error:
            raise OutcomeUnknownError(
                f'the table gave a wrong answer: {error}',
                remedy=_REMEDY,
            ) from error


class HttpObjects:
    """The object store over HTTP."""

    def __init__(self, caller: HttpCaller) -> None:
        self.caller = caller

    async def put(self, name: str, content: bytes) -> None:
        """Write an object, replacing one of the same name."""
        await self._call(b'PUT', name, content)

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` where there is none."""
        return await self._call(b'GET', name)

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        await self._call(b'DELETE', name)

    async def _call(
        self,
        method: bytes,
        name: str,
        content: bytes = b'',
    ) -> bytes | None:
        path = OBJECT_PATH + name.encode()
        status, answer = await self.caller.call(method, path, content)
        if status == HTTPStatus.NOT_FOUND:
            return None
        if status != HTTPStatus.OK:
            raise StoreError(f'the store answered {status}', remedy=_REMEDY)
        return answer


@adapter('http')
def _http(settings: PlatformSettings, network: Network) -> Platform:
    address = Address.parse(settings.address)
    caller = HttpCaller(network, address, timeout=settings.timeout)
    return Platform(table=HttpTable(caller), objects=HttpObjects(caller))
