"""Ask a node where it would send a request, and decode its answer."""

from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import (
    BoragetrestleError,
    HttpError,
    TextError,
)
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.json_fault import JsonFaultError, decode_checked
from boragetrestle_kernel.network import Network

_Document = TypeVar('_Document')

_ANSWER_SECONDS = 5.0  # a node that is not overloaded answers in milliseconds
# A node answers with a few hundred bytes for each of its links.
_MAX_ANSWER_BYTES = 4_000_000
_OTHER_SERVER = 'check that --admin is the metrics address of a node'


class GuardAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """One guard as the node knows it; see ``RouteAnswer``.

    ``expected_seconds`` is ``None`` for a guard that ``ruled_out`` names
    reasons against.
    """

    address: str
    domain: str
    region: str
    is_open: bool
    running: int
    waiting: int
    unconfirmed: int
    limit: float
    failing_share: float
    load_age: float
    expected_seconds: float | None
    ruled_out: tuple[str, ...]


class RouteAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Where a node would send a request, and why.

    ``regions`` is ``None`` if all are allowed, ``rate`` without a rate limit,
    ``admission_share`` without a plan for the route. Without a ``choice``,
    ``refusal`` is the reason with which the request would be refused.
    """

    node: str
    version: int
    route: str
    may_repeat: bool
    organisation: str
    services: dict[str, float]
    service: str
    regions: tuple[str, ...] | None
    rate: float | None
    burst: float | None
    admission_share: float | None
    candidates: tuple[GuardAnswer, ...]
    choice: str
    next_best: str
    refusal: str
    unknown: tuple[str, ...]


class _Fault(msgspec.Struct, frozen=True):
    code: str
    message: str
    remedy: str


# Faults of the question; all others are faults of the node.
_ERRORS_BY_CODE: dict[str, type[BoragetrestleError]] = {
    'no-route': TextError,
    'organisation-unknown': TextError,
    'query-malformed': TextError,
}


async def ask_for_route(
    network: Network,
    address: Address,
    *,
    host: str,
    path: str,
    organisation: str = '',
) -> RouteAnswer:
    """Return the answer of the node whose metrics address is given.

    Raises ``DialError`` or ``HttpError`` without a usable answer, and
    ``TextError`` if the node knows no such route or organisation.
    """
    query = {'host': host, 'path': path, 'organisation': organisation}
    target = f'/route?{urlencode(query)}'.encode()
    with trio.move_on_after(_ANSWER_SECONDS):
        status, body = await _exchange(network, address, target)
        if status == HTTPStatus.OK:
            return _decode(body, RouteAnswer, address)
        raise _error_of(_decode(body, _Fault, address), address)
    raise HttpError(
        f'the node at {address} gave no answer in {_ANSWER_SECONDS:g} s',
        remedy='check that it is running and not overloaded, or ask another',
    )


async def _exchange(
    network: Network,
    address: Address,
    target: bytes,
) -> tuple[int, bytes]:
    stream = await network.dial(address)
    fields = [(b'host', str(address).encode())]
    try:
        async with HttpClientConnection(stream) as connection:
            response = await connection.request(b'GET', target, fields)
            body = b''
            async for part in response.chunks():
                body += part
                if len(body) > _MAX_ANSWER_BYTES:
                    raise HttpError('it is too long')
    except HttpError as error:
        raise HttpError(
            f'the answer of {address} is not usable: {error.message}',
            remedy=_OTHER_SERVER,
        ) from error
    return response.status, body


def _decode(
    body: bytes,
    document_type: type[_Document],
    address: Address,
) -> _Document:
    try:
        return decode_checked(body, document_type)
    except JsonFaultError as error:
        raise HttpError(
            f'{address} answers something else than a route: {error}',
            remedy=f'{_OTHER_SERVER} with the release of this command',
        ) from error


def _error_of(fault: _Fault, address: Address) -> BoragetrestleError:
    kind = _ERRORS_BY_CODE.get(fault.code, HttpError)
    return kind(f'{address}: {fault.message}', remedy=fault.remedy)
