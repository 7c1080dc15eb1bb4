"""Serve the node's own target and its operators."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec

from boragetrestle_kernel.acks import ACKS_PATH, AcksQuestion
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.ack_wave import AckWave
from boragetrestle_node.announcement import Announcement
from boragetrestle_node.identity import Identifier
from boragetrestle_node.membership import Membership
from boragetrestle_node.metrics import NodeMetrics

_JSON = [(b'content-type', b'application/json')]

AdminHandler = Callable[['Admin', bytes], Awaitable[bytes]]
_PATHS: dict[tuple[bytes, bytes], AdminHandler] = {}


def _serves(
    method: bytes,
    path: bytes,
) -> Callable[[AdminHandler], AdminHandler]:
    def register(handler: AdminHandler) -> AdminHandler:
        _PATHS[(method, path)] = handler
        return handler

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
        acks: AckWave,
    ) -> None:
        self.membership = membership
        self.identifier = identifier
        self.state = state
        self.timeline = timeline
        self.metrics = metrics
        self.acks = acks

    async def handle(
        self,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        """Answer one request."""
        body = await request.read()
        handler = _PATHS.get((request.method, request.target))
        if handler is None:
            await connection.answer(HTTPStatus.NOT_FOUND.value, [])
            return
        try:
            answer = await handler(self, body)
        except msgspec.DecodeError as error:
            reason = msgspec.json.encode({'error': str(error)})
            await connection.answer(
                HTTPStatus.BAD_REQUEST.value,
                _JSON,
                reason,
            )
            return
        await connection.answer(HTTPStatus.OK.value, _JSON, answer)


@_serves(b'POST', b'/v1/target')
async def _announce(admin: Admin, body: bytes) -> bytes:
    announcement = msgspec.json.decode(body, type=Announcement)
    admin.identifier.own_services.add(announcement.service)
    record = await admin.membership.announce(announcement)
    return msgspec.json.encode(record)


@_serves(b'GET', b'/health')
async def _health(_admin: Admin, _body: bytes) -> bytes:
    return b'{"status":"ok"}'


@_serves(b'GET', b'/metrics')
async def _metrics(admin: Admin, _body: bytes) -> bytes:
    return admin.metrics.export().encode()


@_serves(b'GET', b'/v1/status')
async def _status(admin: Admin, _body: bytes) -> bytes:
    return msgspec.json.encode({
        'node': admin.membership.settings.node,
        'version': admin.state.version,
        'targets': list(admin.membership.directory.records.values()),
    })


@_serves(b'GET', b'/v1/timeline')
async def _timeline(admin: Admin, _body: bytes) -> bytes:
    return msgspec.json.encode(list(admin.timeline.ring))


@_serves(b'POST', ACKS_PATH.encode())
async def _acks(admin: Admin, body: bytes) -> bytes:
    question = msgspec.json.decode(body, type=AcksQuestion)
    return msgspec.json.encode(await admin.acks.acks(question.version))


@_serves(b'POST', b'/v1/drain')
async def _drain(admin: Admin, _body: bytes) -> bytes:
    await admin.membership.drain()
    return b'{}'
