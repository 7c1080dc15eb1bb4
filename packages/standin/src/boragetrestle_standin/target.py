"""A small target that answers calls and makes onward calls."""

from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

import msgspec
import trio

from boragetrestle_kernel.context import HEADER
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.http_fields import Fields
from boragetrestle_kernel.http_server import HttpRequest, HttpServerConnection
from boragetrestle_kernel.network import Network
from boragetrestle_standin.faults import TargetFaults, replace_faults
from boragetrestle_standin.host_addresses import HostAddresses
from boragetrestle_standin.host_plan import HostPlan, OnwardCall
from boragetrestle_standin.work_log import WorkLog

FAULTS_PATH = b'/faults'
PATH_FIELD = b'x-path'


class Announcement(msgspec.Struct, frozen=True):
    """The message by which a target registers its state with its node."""

    service: str
    address: str
    slots: int
    connections: int
    state: str = 'ready'


def _ignore_run(_path: str) -> None:
    """Do nothing."""


class StandinTarget:
    """Answer each call with a body of fixed size after a fixed time.

    ``work`` is the time of a call in seconds. At most ``slots`` calls run at a
    time; further ones wait inside the target, first in first out. Calls that
    the target receives are counted by path, and the header fields of the last
    one are kept. ``work_log`` records the slot time of each call.
    ``max_running`` is the most calls that ran at once, waiting ones included.
    ``extra_fields`` go with each answer, and so does the path, in ``x-path``.
    ``on_run`` is called with the path of each call before it runs.
    """

    def __init__(
        self,
        network: Network,
        addresses: HostAddresses,
        plan: HostPlan,
        *,
        work_log: WorkLog | None = None,
    ) -> None:
        self.network = network
        self.addresses = addresses
        self.address = addresses.target
        self.service = plan.service
        self.slots = plan.slots
        self.connections = plan.connections
        self.work = plan.work
        self.body = plan.body
        self.onward = plan.onward
        self.faults = TargetFaults()
        self.calls: Counter[str] = Counter()
        self.running = 0
        self.max_running = 0
        self.extra_fields: Fields = []
        self.on_run: Callable[[str], None] = _ignore_run
        self.limiter = trio.CapacityLimiter(plan.slots)
        self.work_log = work_log
        self.last_fields: Fields = []
        self.cancel_scope = trio.CancelScope()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve calls until cancelled or crashed."""
        listener = await self.network.listen(self.address)
        with self.cancel_scope:
            task_status.started()
            await trio.serve_listeners(self._serve, [listener])
        with trio.CancelScope(shield=True):
            await listener.aclose()

    async def announce(self, state: str = 'ready') -> None:
        """Send the state of this target to the node beside it."""
        body = msgspec.json.encode(
            Announcement(
                service=self.service,
                address=str(self.address),
                slots=self.slots,
                connections=self.connections,
                state=state,
            ),
        )
        stream = await self.network.dial(self.addresses.admin)
        async with HttpClientConnection(stream) as connection:
            fields = [(b'host', str(self.addresses.admin).encode())]
            response = await connection.request(
                b'POST',
                b'/v1/target',
                fields,
                body,
            )
            await response.read()

    async def _serve(self, stream: trio.abc.Stream) -> None:
        connection = HttpServerConnection(stream)
        watch = self.network.watch(stream, connection.handle_caller_close)
        try:
            await connection.serve(self._handle_request)
        finally:
            watch.cancel()

    async def _handle_request(
        self,
        request: HttpRequest,
        connection: HttpServerConnection,
    ) -> None:
        body = await request.read()
        if request.target == FAULTS_PATH:
            replace_faults(self.faults, body)
            await connection.answer(HTTPStatus.OK.value, [])
            return
        path = request.target.decode()
        self.calls[path] += 1
        self.on_run(path)
        self.last_fields = request.fields
        if self.faults.crash_path and path.startswith(self.faults.crash_path):
            self.cancel_scope.cancel()
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            status = await self._run_in_slot(request)
        finally:
            self.running -= 1
        await self._send_answer(connection, status, request.target)

    async def _run_in_slot(self, request: HttpRequest) -> int:
        if self.faults.is_shedding:
            return HTTPStatus.SERVICE_UNAVAILABLE.value
        async with self.limiter:
            started_at = trio.current_time()
            try:
                return await self._run_call(request)
            finally:
                self._log_work(request, started_at)

    async def _run_call(self, request: HttpRequest) -> int:
        seconds = self.work * self.faults.slowdown + self.faults.delay
        await trio.sleep(seconds)
        if self.faults.is_failing:
            return HTTPStatus.INTERNAL_SERVER_ERROR.value
        for onward in self.onward:
            status = await self._call_onward(request, onward)
            if status != HTTPStatus.OK:
                return HTTPStatus.BAD_GATEWAY.value
        return HTTPStatus.OK.value

    def _log_work(self, request: HttpRequest, started_at: float) -> None:
        if self.work_log is not None:
            self.work_log.add(
                request.field(HEADER),
                self.service,
                trio.current_time() - started_at,
            )

    async def _call_onward(
        self, request: HttpRequest, onward: OnwardCall
    ) -> int:
        stream = await self.network.dial(self.addresses.calls)
        async with HttpClientConnection(stream) as connection:
            fields = [
                (b'host', str(self.addresses.calls).encode()),
                (HEADER, request.field(HEADER)),
            ]
            response = await connection.request(
                onward.method.encode(),
                onward.path.encode(),
                fields,
            )
            await response.read()
            return response.status

    async def _send_answer(
        self,
        connection: HttpServerConnection,
        status: int,
        path: bytes,
    ) -> None:
        if self.faults.cut_after is None:
            fields = [*self.extra_fields, (PATH_FIELD, path)]
            await connection.answer(status, fields, self.body)
            return
        length = str(len(self.body)).encode()
        await connection.send_head(status, [(b'content-length', length)])
        await connection.send_data(self.body[: self.faults.cut_after])
        await trio.aclose_forcefully(connection.stream)
