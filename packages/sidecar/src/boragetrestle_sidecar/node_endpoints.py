"""A node's own endpoints: readiness, target reports, metrics, routes."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.endpoint_server import EndpointAnswer
from boragetrestle_sidecar.platform_adapter import TargetLeave
from boragetrestle_sidecar.route_query import ROUTE_PATH
from boragetrestle_sidecar.target_report import TargetState

if TYPE_CHECKING:
    from boragetrestle_sidecar.caller_request import CallerRequest
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.platform_adapter import PlatformAdapter
    from boragetrestle_sidecar.route_query import RouteQueries
    from boragetrestle_sidecar.target_report import TargetReport
    from boragetrestle_sidecar.telemetry import Telemetry

_ACKNOWLEDGED = EndpointAnswer(HTTPStatus.OK, b'{}')
_METRICS_CONTENT_TYPE = b'text/plain; version=0.0.4'
# Targets wait one second for an answer.
SAVE_SECONDS = 0.8


class NodeEndpoints:
    """Answer requests to a node's own endpoints.

    ``on_guard_changed`` is called before a call of the node's target is
    answered, which may have changed the guard that enforces its limits.
    ``wait_until_saved`` waits up to some seconds until the store has what is to
    outlast the node, and returns whether it has.
    """

    def __init__(
        self,
        adapter: 'PlatformAdapter',
        guard: 'Guard',
        telemetry: 'Telemetry',
        log: 'DecisionLog',
        *,
        routes: 'RouteQueries',
        is_ready: Callable[[], bool],
        on_guard_changed: Callable[[], None],
        wait_until_saved: Callable[[float], Awaitable[bool]],
    ) -> None:
        self.adapter = adapter
        self.guard = guard
        self.telemetry = telemetry
        self.log = log
        self.routes = routes
        self.is_ready = is_ready
        self.on_guard_changed = on_guard_changed
        self.wait_until_saved = wait_until_saved

    def ready(self, _request: 'CallerRequest') -> EndpointAnswer:
        """Answer whether the node accepts requests of callers."""
        if self.is_ready():
            return EndpointAnswer(HTTPStatus.OK)
        return EndpointAnswer(HTTPStatus.SERVICE_UNAVAILABLE)

    def control(
        self,
        request: 'CallerRequest',
    ) -> EndpointAnswer | Awaitable[EndpointAnswer]:
        """Pass a report of the target to the guard and acknowledge it.

        For a target that drains or leaves, the guard has stopped sending it
        calls, other nodes have been told, and the store has it before the call
        is acknowledged. While the store does not answer it is not: all nodes
        could be killed, and none would know that the target has left.
        """
        was_open = self.guard.is_open
        try:
            call = self.adapter.decode_target_call(request)
            self._pass_on(call)
        except WireError as error:
            self.log.write_limited('heartbeat-refused', error=str(error))
            return EndpointAnswer(HTTPStatus.BAD_REQUEST)
        if was_open != self.guard.is_open:
            self.log.write_unlimited('guard-turned', is_open=self.guard.is_open)
        self.on_guard_changed()
        if isinstance(call, TargetLeave) or call.state is TargetState.DRAINING:
            return self._acknowledge_saved()
        return _ACKNOWLEDGED

    async def _acknowledge_saved(self) -> EndpointAnswer:
        if await self.wait_until_saved(SAVE_SECONDS):
            return _ACKNOWLEDGED
        self.log.write_limited('leave-not-acknowledged', waited=SAVE_SECONDS)
        return EndpointAnswer(HTTPStatus.SERVICE_UNAVAILABLE)

    def _pass_on(self, call: 'TargetReport | TargetLeave') -> None:
        if isinstance(call, TargetLeave):
            self.guard.handle_leaving(call.target)
        else:
            self.guard.handle_heartbeat(call)

    def metrics(self, request: 'CallerRequest') -> EndpointAnswer:
        """Return all metrics in the text format of OpenTelemetry.

        ``GET /route`` is answered with the explanation of a route instead.
        """
        if request.path == ROUTE_PATH and request.method == b'GET':
            return self.routes.answer(request)
        text = self.telemetry.render().encode()
        return EndpointAnswer(HTTPStatus.OK, text, _METRICS_CONTENT_TYPE)
