"""An entry whose guards and callers are controlled by tests."""

from collections.abc import Callable
from typing import Any, NamedTuple

from path_builders import (
    NAMES,
    FakeTransport,
    LineLog,
    ManualClock,
    chance,
    configuration,
    settings,
)

from boragetrestle_sidecar.admission.admission import Admission
from boragetrestle_sidecar.answer_buffers import AnswerBuffers
from boragetrestle_sidecar.call_attribution import CallAttribution
from boragetrestle_sidecar.caller_connection import CallerConnection
from boragetrestle_sidecar.entry import Entry
from boragetrestle_sidecar.entry_parts import EntryParts
from boragetrestle_sidecar.evacuations import Evacuations
from boragetrestle_sidecar.fleet import Fleet
from boragetrestle_sidecar.fleet_load import FleetLoad, combine_loads, load_of
from boragetrestle_sidecar.member import Member
from boragetrestle_sidecar.node_load import NodeLoad
from boragetrestle_sidecar.node_status import NodeStatus
from boragetrestle_sidecar.outcome import (
    GuardLoad,
    Outcome,
    OutcomeKind,
    Reason,
)
from boragetrestle_sidecar.rate_gate import RateGate
from boragetrestle_sidecar.rate_shares import RateShares
from boragetrestle_sidecar.retry_budget import RetryBudget
from boragetrestle_sidecar.run_order import RunOrder
from boragetrestle_sidecar.suspects import Suspects
from boragetrestle_sidecar.telemetry import Telemetry

LOAD = GuardLoad(0, 0, 10, 0.01)
ANSWER_BYTES = 20_000_000


class SentRun(NamedTuple):
    """A run sent to a guard, with the callback for its outcome."""

    order: RunOrder
    reply: Callable[[Outcome], None]

    def answer(self, status: int = 200, body: bytes = b'whole') -> None:
        """Let the target answer."""
        head = b'HTTP/1.1 %d Some\r\nseal: s\r\ncontent-length: %d\r\n' % (
            status,
            len(body),
        )
        self.reply(
            Outcome(
                OutcomeKind.ANSWERED,
                status=status,
                head=head,
                body=body,
                load=LOAD,
            )
        )

    def end(self, kind: OutcomeKind, reason: Reason) -> None:
        """Let the guard report another outcome."""
        self.reply(Outcome(kind, reason, load=LOAD))


class FakeHop:
    """A guard that records runs and is answered by tests."""

    def __init__(self) -> None:
        self.sent: list[SentRun] = []
        self.cancelled: list[int] = []
        self.silent = 0.0
        self.probes = 0
        self.can_be_probed = False

    def run(
        self,
        order: RunOrder,
        reply: Callable[[Outcome], None],
    ) -> int:
        """Record a run."""
        self.sent.append(SentRun(order, reply))
        return len(self.sent)

    def cancel(self, number: int) -> None:
        """Record a cancellation."""
        self.cancelled.append(number)

    def unanswered_seconds(self, now: float) -> float:
        """Return the seconds since the guard should have sent something."""
        return self.silent

    def probe(self, now: float) -> bool:
        """Record a question; tests answer those that they allow."""
        self.probes += 1
        return self.can_be_probed


class EntryHarness:
    """An entry with the guards a and b of the service walks."""

    def __init__(self, *routes: Any, **options: Any) -> None:
        self.clock = ManualClock()
        self.log = LineLog(self.clock)
        self.fleet = fleet_of(self.clock)
        self.hops = {name: FakeHop() for name in ('a', 'b')}
        for name, hop in self.hops.items():
            self.fleet.add(name, hop)
            self.fleet.update_load(node_load(name))
        self.budget = RetryBudget(
            ratio=0.2,
            slack=50,
            window=10,
            clock=self.clock,
        )
        self.suspects = Suspects(clock=self.clock)
        self.attribution = CallAttribution(chance())
        shares = RateShares('a')
        shares.set_nodes(['a'])
        self.rates = RateGate(
            shares,
            link_of=lambda _name: None,
            chance=chance(),
            clock=self.clock,
        )
        self.admission = Admission(
            chance(),
            self.log,
            seconds_until_warm=self.fleet.seconds_until_warm,
            clock=self.clock,
        )
        parts = EntryParts(
            fleet=self.fleet,
            admission=self.admission,
            rate_gate=self.rates,
            retry_budget=self.budget,
            suspects=self.suspects,
            log=self.log,
            telemetry=Telemetry(),
            chance=chance(),
            own_service=lambda: 'shop',
            attribution=self.attribution,
            answers=AnswerBuffers(ANSWER_BYTES),
        )
        self.entry = Entry(settings(), NAMES, parts, clock=self.clock)
        self.use(configuration(*routes, **options))

    def use(self, new: Any) -> None:
        """Apply a configuration and let rates accrue for a second."""
        self.entry.configuration = new
        self.rates.configuration = new
        self.admission.configure(new)
        self.rates.refill_shares()
        self.clock.now += 1
        self.rates.refill_shares()

    def connect(self) -> tuple[CallerConnection, Any]:
        """Return a caller's connection and its transport."""
        connection = CallerConnection(self.entry)
        transport: Any = FakeTransport()
        connection.connection_made(transport)
        return connection, transport

    def sent(self) -> list[SentRun]:
        """Return the runs that both guards were sent."""
        return [run for hop in self.hops.values() for run in hop.sent]

    def sent_for(self, request_id: str) -> list[SentRun]:
        """Return the runs of one request."""
        known = request_id.encode()
        return [run for run in self.sent() if run.order.request_id == known]


def fleet_of(clock: ManualClock) -> Fleet:
    """Return a fleet of which only the node a is known."""
    return Fleet(
        Member('a', 'a', 'shop'), Evacuations(LineLog(clock)), clock=clock
    )


def node_load(
    name: str,
    service: str = 'walks',
    load: GuardLoad = LOAD,
) -> NodeLoad:
    """Return what an open guard tells entries."""
    return NodeLoad(name, 'a', service, 1, load)


def status(service: str = 'walks', **fields: Any) -> NodeStatus:
    """Return the status of a node with an open guard."""
    known: dict[str, Any] = {
        'service': service,
        'is_open': True,
        'limit': 10,
        'waiting': 0,
        'run_seconds': 0.01,
        'arrivals': {},
        'costs': [],
    }
    return NodeStatus(**{**known, **fields})


def total_of(*statuses: NodeStatus) -> FleetLoad:
    """Return the total of a fleet's statuses."""
    return combine_loads(load_of(each) for each in statuses)


def request_bytes(
    request_id: str = 'r-1',
    *,
    method: str = 'GET',
    path: str = '/walks/1',
    key: str = 'secret',
    time_left: int = 1000,
    extra: str = '',
    body: str = '',
) -> bytes:
    """Return a caller's request."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: example\r\n'
        f'Call-Id: {request_id}\r\nTime-Left: {time_left}\r\n'
        f'Authorization: Bearer {key}\r\n{extra}\r\n{body}'
    ).encode()
