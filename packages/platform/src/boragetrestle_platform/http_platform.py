"""Client of the platform (table and object store) over HTTP."""

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


class PlatformHttpClient:
    """Send requests to the platform on reused connections."""

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
        """Send a request; return the status and body of the answer.

        Raises ``StoreError`` if nothing was sent, ``OutcomeUnknownError`` if the
        request failed or had no answer within the timeout, in seconds.
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
        connection = await self._acquire_connection()
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

    async def _acquire_connection(self) -> HttpClientConnection:
        if self.idle:
            return self.idle.pop()
        return HttpClientConnection(await self.network.dial(self.address))


class HttpTable:
    """The table service over HTTP."""

    def __init__(self, client: PlatformHttpClient) -> None:
        self.client = client

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
        """Return up to ``limit`` rows by prefix, in key order, after a key."""
        body = ScanBody(prefix=prefix, after=after, limit=limit)
        return await self._post(SCAN_PATH, body, Rows)

    async def commit(self, transaction: Transaction) -> Committed:
        """Apply all writes if every check holds, else none."""
        return await self._post(COMMIT_PATH, transaction, Committed)

    async def _post(
        self,
        path: bytes,
        body: Any,
        answer_type: type[_Answer],
    ) -> _Answer:
        raw = msgspec.json.encode(body)
        status, content = await self.client.call(b'POST', path, raw)
        if status != HTTPStatus.OK:
            raise OutcomeUnknownError(
                f'the table answered {status}',
                remedy=_REMEDY,
            )
        try:
            return msgspec.json.decode(content, type=answer_type)
        except msgspec.DecodeError as error:
            raise OutcomeUnknownError(
                f'the table gave a wrong answer: {error}',
                remedy=_REMEDY,
            ) from error


class HttpObjects:
    """The object store over HTTP."""

    def __init__(self, client: PlatformHttpClient) -> None:
        self.client = client

    async def put(self, name: str, content: bytes) -> None:
        """Write an object, replacing one of the same name."""
        await self._request(b'PUT', name, content)

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` where there is none."""
        return await self._request(b'GET', name)

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        await self._request(b'DELETE', name)

    async def _request(
        self,
        method: bytes,
        name: str,
        content: bytes = b'',
    ) -> bytes | None:
        path = OBJECT_PATH + name.encode()
        status, answer = await self.client.call(method, path, content)
        if status == HTTPStatus.NOT_FOUND:
            return None
        if status != HTTPStatus.OK:
            raise StoreError(
                f'the store answered {status}',
                remedy=_REMEDY,
            )
        return answer


@adapter('http')
def _create_platform(settings: PlatformSettings, network: Network) -> Platform:
    address = Address.parse(settings.address)
    client = PlatformHttpClient(network, address, timeout=settings.timeout)
    return Platform(table=HttpTable(client), objects=HttpObjects(client))
