"""Builders for tests of the two-hop data path."""

import random
from collections.abc import Callable
from typing import Any

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.digest import digest_key
from boragetrestle_kernel.ids import (
    DomainName,
    NodeId,
    RegionName,
    RequestId,
    RouteName,
    ServiceName,
    TargetId,
    Version,
)
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_sidecar.answer_buffers import AnswerBuffers
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.configuration import Configuration
from boragetrestle_sidecar.decision_log import DecisionLog
from boragetrestle_sidecar.guard import Guard
from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
from boragetrestle_sidecar.outcome import Outcome
from boragetrestle_sidecar.path_settings import PathSettings
from boragetrestle_sidecar.route_policy import RoutePolicy, ServiceShare
from boragetrestle_sidecar.run_order import RunOrder
from boragetrestle_sidecar.server_connection import ServerConnection
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.target_capacity import LearnsLimits
from boragetrestle_sidecar.target_report import TargetReport, TargetState
from boragetrestle_sidecar.wire_names import WireNames

NAMES = WireNames(
    request_id=b'call-id',
    time_left=b'time-left',
    target_answer_marker=b'seal',
    organisation=b'organisation',
    expected_target=b'target',
    not_run=b'not-run',
    rate_limit=b'rate-limit',
    leaving=b'leaving',
    stated_load=b'load',
    caller_service=b'caller',
    key_scheme=b'bearer',
)
TARGET_ADDRESS = Address('127.0.0.1', 9)
WALKS = ServiceName('walks')
LONG = 30.0


class ManualClock:
    """A clock that tests set."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class LineLog(DecisionLog):
    """A log that records its lines."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []
        super().__init__(self._keep, clock=clock or ManualClock())

    def kinds(self) -> list[str]:
        """Return the kinds of all lines."""
        return [kind for kind, _fields in self.lines]

    def _keep(self, kind: str, fields: dict[str, Any]) -> None:
        self.lines.append((kind, fields))


class FakeSocket:
    """A socket that accepts all options."""

    def setsockopt(self, *_options: int) -> None:
        """Accept an option."""

    def fileno(self) -> int:
        """Return that there is no descriptor."""
        return -1


class FakeTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written = b''
        self.is_closed = False
        self.is_reading = True
        self.unflushed = 0

    def write(self, sent: bytes) -> None:
        """Record bytes."""
        self.written += sent

    def get_write_buffer_size(self) -> int:
        """Return how many bytes are still buffered."""
        return self.unflushed

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self.is_closed

    def abort(self) -> None:
        """Close at once."""
        self.is_closed = True

    def close(self) -> None:
        """Close after what was written."""
        self.is_closed = True

    def can_write_eof(self) -> bool:
        """Return that the connection can't be closed in one direction."""
        return False

    def get_extra_info(self, _name: str) -> Any:
        """Return a socket that accepts all options."""
        return FakeSocket()

    def pause_reading(self) -> None:
        """Stop reading."""
        self.is_reading = False

    def resume_reading(self) -> None:
        """Continue reading."""
        self.is_reading = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Accept limits of what is buffered."""


def open_connection(
    buffers: AnswerBuffers | None = None,
    clock: Callable[[], float] = steady_now,
) -> tuple[ServerConnection, Any]:
    """Return an open connection and its transport."""
    connection = ServerConnection(
        id_header=NAMES.request_id, buffers=buffers, clock=clock
    )
    transport: Any = FakeTransport()
    connection.connection_made(transport)
    return connection, transport


def answer_bytes(
    request_id: str,
    body: bytes = b'whole',
    *,
    status: int = 200,
    extra: bytes = b'seal: s\r\n',
) -> bytes:
    """Return the answer of a target."""
    return (
        b'HTTP/1.1 %d Some\r\ncall-id: %s\r\n%scontent-length: %d\r\n\r\n%s'
        % (
            status,
            request_id.encode(),
            extra,
            len(body),
            body,
        )
    )


def settings(
    learns_limits: LearnsLimits = LearnsLimits.STATED,
) -> PathSettings:
    """Return settings whose addresses are not used."""
    nowhere = Address('127.0.0.1', 1)
    return PathSettings(
        node=NodeId('node-1'),
        domain=DomainName('a'),
        service=WALKS,
        callers=nowhere,
        peers=nowhere,
        ready=nowhere,
        control=nowhere,
        metrics=nowhere,
        target=TARGET_ADDRESS,
        store=nowhere,
        learns_limits=learns_limits,
    )


def report(
    *,
    target: str = 't-1',
    state: TargetState = TargetState.READY,
    started_at: int = 1,
    sequence: int = 1,
    slots: int = 2,
    service: str = 'walks',
    cold_seconds: float = 0.0,
) -> TargetReport:
    """Return a heartbeat."""
    return TargetReport(
        target=TargetId(target),
        service=ServiceName(service),
        address=TARGET_ADDRESS,
        domain=DomainName('a'),
        slots=slots,
        state=state,
        started_at=started_at,
        sequence=sequence,
        cold_seconds=cold_seconds,
    )


def run_order(
    request_id: str = 'r-1',
    *,
    may_repeat: bool = True,
    time_left: float = 1.0,
    goal_left: float = 1.0,
    is_call: bool = False,
) -> RunOrder:
    """Return a run order for the service walks."""
    return RunOrder(
        service='walks',
        route='browse',
        organisation='acacia',
        request_id=RequestId(request_id.encode()),
        is_call=is_call,
        may_repeat=may_repeat,
        sent_at=0,
        time_left=time_left,
        goal_left=goal_left,
        head=b'GET /walks/1 HTTP/1.1\r\n',
        body=b'',
    )


class GuardHarness:
    """A guard with open connections to a target simulated by tests."""

    def __init__(
        self,
        *,
        slots: int = 2,
        connections: int = 8,
        learns_limits: LearnsLimits = LearnsLimits.STATED,
    ) -> None:
        self.clock = ManualClock()
        self.log = LineLog(self.clock)
        self.guard = Guard(
            settings(learns_limits), NAMES, self.log, clock=self.clock
        )
        self.guard.handle_heartbeat(report(slots=slots))
        self.outcomes: dict[str, Outcome] = {}
        self.transports: list[Any] = []
        self.connect(connections)

    def connect(self, connections: int) -> None:
        """Add open connections to the target."""
        for _ in range(connections):
            connection, transport = open_connection(
                self.guard.pool.buffers, self.clock
            )
            connection.idle_since = self.clock.now
            connection.idle_seconds = LONG
            connection.on_idle_lost = self.guard.pool.drop_lost
            self.guard.pool.idle.append(connection)
            self.transports.append(transport)

    def submit(self, order: RunOrder, **options: float) -> Any:
        """Submit a run; its outcome is recorded by request id."""
        name = order.request_id.decode()

        def keep(outcome: Outcome) -> None:
            self.outcomes[name] = outcome

        return self.guard.submit(order, keep, **options)

    def sent(self) -> bytes:
        """Return all bytes that the target was sent."""
        return b''.join(each.written for each in self.transports)

    def answer(self, job: Any, **options: Any) -> None:
        """Let the target answer a run."""
        name = job.order.request_id.decode()
        job.connection.data_received(answer_bytes(name, **options))


def route(
    name: str = 'browse',
    *,
    services: dict[str, float] | None = None,
    prefix: str = '/walks/',
    priority: int = 1,
    needs_key: bool = True,
    may_repeat: bool = True,
    max_attempts: int = 2,
    regions: tuple[str, ...] = (),
) -> RoutePolicy:
    """Return a route of the host example."""
    shares = services or {'walks': 1.0}
    return RoutePolicy(
        name=RouteName(name),
        host='example',
        prefix=prefix,
        shares=tuple(
            ServiceShare(ServiceName(service), weight)
            for service, weight in shares.items()
        ),
        may_repeat=may_repeat,
        time_limit=2.0,
        goal=1.0,
        max_attempts=max_attempts,
        priority=priority,
        needs_key=needs_key,
        regions=frozenset(map(RegionName, regions)),
    )


def organisation(
    name: str = 'acacia',
    *,
    rate: float = 100.0,
    burst: float = 100.0,
    key: str = 'secret',
    regions: tuple[str, ...] = (),
) -> OrganisationPolicy:
    """Return an organisation with one key."""
    return OrganisationPolicy(
        terms=Organisation(name, rate=rate, burst=burst),
        key_digests=frozenset((digest_key(key),)),
        priority=0,
        is_limited=rate > 0,
        regions=frozenset(map(RegionName, regions)),
    )


def configuration(
    *routes: RoutePolicy,
    version: int = 1,
    organisations: tuple[OrganisationPolicy, ...] | None = None,
    cold_rates: dict[ServiceName, float] | None = None,
    limits: CallerLimits | None = None,
) -> Configuration:
    """Return a configuration with one route and one organisation."""
    if organisations is None:
        organisations = (organisation(),)
    return Configuration(
        version=Version(version),
        document=b'%d' % version,
        routes=routes or (route(),),
        organisations=organisations,
        cold_rates=cold_rates,
        limits=limits,
    )


def chance(seed: int = 1) -> random.Random:
    """Return a seeded random number generator."""
    return random.Random(seed)
