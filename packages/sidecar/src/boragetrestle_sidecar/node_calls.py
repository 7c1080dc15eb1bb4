"""Small calls to a node: its readiness, its target's reports, its metrics."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.platform_adapter import TargetLeave
from boragetrestle_sidecar.small_server import SmallAnswer

if TYPE_CHECKING:
    from boragetrestle_sidecar.caller_request import CallerRequest
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.platform_adapter import PlatformAdapter
    from boragetrestle_sidecar.telemetry import Telemetry

_TEXT = b'text/plain; version=0.0.4'


class NodeCalls:
    """Answer the calls; ``turned`` is told when the guard opens or closes."""

    def __init__(
        self,
        adapter: 'PlatformAdapter',
        guard: 'Guard',
        telemetry: 'Telemetry',
        log: 'DecisionLog',
        *,
        is_ready: Callable[[], bool],
        turned: Callable[[], None],
    ) -> None:
        self.adapter = adapter
        self.guard = guard
        self.telemetry = telemetry
        self.log = log
        self.is_ready = is_ready
        self.turned = turned

    def ready(self, _request: 'CallerRequest') -> SmallAnswer:
        """Tell whether callers may be sent here."""
        if self.is_ready():
            return SmallAnswer(HTTPStatus.OK)
        return SmallAnswer(HTTPStatus.SERVICE_UNAVAILABLE)

    def control(self, request: 'CallerRequest') -> SmallAnswer:
        """Take a report of the target; the answer acknowledges it.

        The guard has stopped sending to a leaving target before the answer
        goes out.
        """
        try:
            call = self.adapter.decode_target_call(request)
        except WireError as error:
            self.log.line('heartbeat-refused', error=str(error))
            return SmallAnswer(HTTPStatus.BAD_REQUEST)
        was_open = self.guard.is_open
        if isinstance(call, TargetLeave):
            self.guard.leave(call.target)
        else:
            self.guard.report(call)
        if was_open != self.guard.is_open:
            self.log.always('guard-turned', is_open=self.guard.is_open)
            self.turned()
        return SmallAnswer(HTTPStatus.OK, b'{}')

    def metrics(self, _request: 'CallerRequest') -> SmallAnswer:
        """Return all metrics as text."""
        text = self.telemetry.render().encode()
        return SmallAnswer(HTTPStatus.OK, text, _TEXT)
