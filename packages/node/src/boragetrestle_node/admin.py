"""Serve the node's own target and its operators."""

import hmac
from collections.abc import Awaitable, Callable
from enum import Enum
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from boragetrestle_kernel.acks import ACKS_PATH, AcksRequest
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import SettingsError
from boragetrestle_kernel.event_filter import EventFilter
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.http_limits import HttpLimits
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.settings import ConnectionLimits
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.ack_wave import AckWave
from boragetrestle_node.announcement import Announcement
from boragetrestle_node.caller_connections import CallerConnections
from boragetrestle_node.entry import Entry
from boragetrestle_node.identity import Identifier
from boragetrestle_node.membership import Membership
from boragetrestle_node.metrics import NodeMetrics
from boragetrestle_node.service_load import ServiceLoad

_MAX_CONNECTIONS = 64
_MAX_BODY_BYTES = 65_536
_JSON = [(b'content-type', b'application/json')]

AdminHandler = Callable[['Admin', bytes], Awaitable[bytes]]
AccessCheck = Callable[['Admin', HttpRequest], bool]


class Access(Enum):
    """Who may use a path of the admin address."""

    ALL = 'all'
    TARGET = 'target'
    OPERATOR = 'operator'


class ServedPath(NamedTuple):
    """The handler of a path and who may use it."""

    access: Access
    handler: AdminHandler


_PATHS: dict[tuple[bytes, bytes], ServedPath] = {}
_GUARDS: dict[Access, AccessCheck] = {}


def _serves(
    method: bytes,
    path: bytes,
    access: Access = Access.ALL,
) -> Callable[[AdminHandler], AdminHandler]:
    def register(handler: AdminHandler) -> AdminHandler:
        _PATHS[(method, path)] = ServedPath(access, handler)
        return handler

    return register


def _guards(access: Access) -> Callable[[AccessCheck], AccessCheck]:
    def register(check: AccessCheck) -> AccessCheck:
        _GUARDS[access] = check
        return check

    return register


class Admin:
    """Answer announcements, health, metrics, status and the time line."""

    def __init__(
        self,
        *,
        membership: Membership,
        identifier: Identifier,
        state: FleetState,
        timeline: Timeline,
        metrics: NodeMetrics,
        loads: ServiceLoad,
        acks: AckWave,
        entry: Entry,
        network: Network,
    ) -> None:
        settings = membership.settings
        credential = settings.operator_credential
        self.own_hosts = settings.own_hosts
        self.credential = credential.resolve() if credential else b''
        self.entry = entry
        self.connections = CallerConnections(
            network,
            bounds=ConnectionLimits(total=_MAX_CONNECTIONS),
            limits=HttpLimits(body_bytes=_MAX_BODY_BYTES),
        )
        self.membership = membership
        self.identifier = identifier
        self.state = state
        self.timeline = timeline
        self.metrics = metrics
        self.loads = loads
        metrics.watch_wanted(loads.wanted)
        self.acks = acks

    async def handle(
        self,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Answer one request."""
        body = await request.read()
        served = _PATHS.get((request.method, request.target))
        if served is None:
            await connection.answer(HTTPStatus.NOT_FOUND.value, [])
            return
        if not _GUARDS[served.access](self, request):
            await connection.answer(HTTPStatus.FORBIDDEN.value, [])
            return
        try:
            answer = await served.handler(self, body)
        except (msgspec.DecodeError, SettingsError) as error:
            reason = msgspec.json.encode({'error': str(error)})
            await connection.answer(
                HTTPStatus.BAD_REQUEST.value,
                _JSON,
                reason,
            )
            return
        await connection.answer(HTTPStatus.OK.value, _JSON, answer)


@_guards(Access.ALL)
def _allow_all(_admin: Admin, _request: HttpRequest) -> bool:
    return True


@_guards(Access.TARGET)
def _allow_own_host(admin: Admin, request: HttpRequest) -> bool:
    return request.connection.peer_host in admin.own_hosts


@_guards(Access.OPERATOR)
def _allow_operator(admin: Admin, request: HttpRequest) -> bool:
    if not admin.credential:
        return _allow_own_host(admin, request)
    shown = request.field(b'authorization').removeprefix(b'Bearer ')
    return hmac.compare_digest(shown, admin.credential)


@_serves(b'POST', b'/v1/target', Access.TARGET)
async def _announce(admin: Admin, body: bytes) -> bytes:
    announcement = msgspec.json.decode(body, type=Announcement)
    Address.parse(announcement.address)
    admin.identifier.own_services.add(announcement.service)
    record = await admin.membership.announce(announcement)
    return msgspec.json.encode(record)


@_serves(b'GET', b'/health')
async def _health(admin: Admin, _body: bytes) -> bytes:
    status = 'draining' if admin.entry.is_draining else 'ok'
    return msgspec.json.encode({'status': status})


@_serves(b'GET', b'/metrics')
async def _metrics(admin: Admin, _body: bytes) -> bytes:
    return admin.metrics.export().encode()


@_serves(b'GET', b'/v1/status', Access.OPERATOR)
async def _status(admin: Admin, _body: bytes) -> bytes:
    return msgspec.json.encode({
        'node': admin.membership.settings.node,
        'version': admin.state.version,
        'targets': list(admin.membership.directory.records.values()),
        'wanted_targets': admin.loads.wanted(),
    })


@_serves(b'GET', b'/v1/timeline', Access.OPERATOR)
async def _whole_timeline(admin: Admin, _body: bytes) -> bytes:
    return msgspec.json.encode(admin.timeline.events)


@_serves(b'POST', b'/v1/timeline', Access.OPERATOR)
async def _timeline(admin: Admin, body: bytes) -> bytes:
    wanted = msgspec.json.decode(body, type=EventFilter)
    return msgspec.json.encode(wanted.select(admin.timeline.events))


@_serves(b'POST', ACKS_PATH.encode())
async def _acks(admin: Admin, body: bytes) -> bytes:
    question = msgspec.json.decode(body, type=AcksRequest)
    return msgspec.json.encode(await admin.acks.acks(question.version))


@_serves(b'POST', b'/v1/drain', Access.OPERATOR)
async def _drain(admin: Admin, _body: bytes) -> bytes:
    await admin.membership.drain()
    return b'{}'
