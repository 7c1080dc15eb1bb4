"""Run nodes and targets in one process on the embedded platform."""

from collections import Counter
from collections.abc import Callable
from importlib.resources import files
from typing import NamedTuple

import trio

from boragetrestle.operator import Operator
from boragetrestle_kernel.network import Network, TcpNetwork
from boragetrestle_kernel.service_text import Organisation, ServiceText
from boragetrestle_kernel.text_check import parse_text
from boragetrestle_kernel.timeline import Event, EventKind
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.fleet import Fleet
from boragetrestle_standin.host_plan import HostPlan

_DOMAINS = ('a', 'b', 'c')
_TARGETS_PER_SERVICE = 2
_CALLS_PER_STEP = 20
_SHOWN_ORGANISATIONS = 4
_BURST_MULTIPLE = 2.5
_IN_FORCE_SECONDS = 6.0
_DRAIN_SECONDS = 2.5
_POLL_SECONDS = 0.05
_SHOWN_EVENTS = 12
_NO_KEY = ''
_OK = '200'
_KEY_REFUSAL = 'not-authorised'
_RATE_REFUSAL = 'rate-exceeded'


class TrialRow(NamedTuple):
    """Outcomes of the calls of one step."""

    step: str
    organisation: str
    outcomes: dict[str, int]


class TrialReport(NamedTuple):
    """Results of a trial, and the expectations that were not met."""

    name: str
    rows: list[TrialRow]
    events: list[tuple[str, ...]]
    failures: list[str]


class Trial:
    """A small fleet that runs one example text."""

    def __init__(self, name: str, *, network: Network | None = None) -> None:
        self.name = name
        self.text = example_text(name)
        platform = Platform(MemoryTable(), MemoryObjects())
        self.operator = Operator(platform, name='trial')
        self.fleet = Fleet(
            plan_hosts(self.text),
            network=network or TcpNetwork(),
            platform=platform,
        )
        self.keys: dict[str, str] = {}
        self.rows: list[TrialRow] = []
        self.failures: list[str] = []

    async def run(self) -> TrialReport:
        """Run every step and return the report."""
        await self.operator.apply(self.text)
        async with trio.open_nursery() as nursery:
            await self.fleet.start(nursery)
            await self._run_steps()
            nursery.cancel_scope.cancel()
        return TrialReport(
            self.name,
            self.rows,
            [_event_row(event) for event in self._newest_events()],
            self.failures,
        )

    async def _run_steps(self) -> None:
        shown = self.text.organisations[:_SHOWN_ORGANISATIONS]
        smallest = min(self.text.organisations, key=_burst_of)
        withdrawn = await self._give_keys({*shown, smallest}, shown[0])
        for organisation in shown:
            await self._make_calls('calls with keys', organisation.name, {_OK})
        await self._make_calls('calls without a key', _NO_KEY, {_KEY_REFUSAL})
        await self._exceed_rate(smallest)
        await self._withdraw_key(withdrawn, shown[0].name)
        await self._drain_first_host(shown[1].name)

    async def _give_keys(
        self,
        organisations: set[Organisation],
        first: Organisation,
    ) -> str:
        """Give a key to each organisation; return the id of the first's."""
        first_id = ''
        for organisation in sorted(organisations, key=_name_of):
            given = await self.operator.give_key(organisation.name)
            self.keys[organisation.name] = given.key
            if organisation == first:
                first_id = given.key_id
        await self._wait_until_in_force()
        return first_id

    async def _exceed_rate(self, organisation: Organisation) -> None:
        calls = round(organisation.burst * _BURST_MULTIPLE)
        await self._make_calls(
            f'{_BURST_MULTIPLE} times its burst at once',
            organisation.name,
            {_OK, _RATE_REFUSAL},
            calls=calls,
        )

    async def _withdraw_key(self, key_id: str, organisation: str) -> None:
        await self.operator.withdraw_key(key_id)
        await self._wait_until_in_force()
        step = 'after the key is withdrawn'
        await self._make_calls(step, organisation, {_KEY_REFUSAL})

    async def _drain_first_host(self, organisation: str) -> None:
        drained = self.fleet.hosts[0]
        await drained.node.membership.drain()
        await trio.sleep(_DRAIN_SECONDS)
        before = drained.target.calls.total()
        step = 'after a target drained'
        await self._make_calls(step, organisation, {_OK})
        served = drained.target.calls.total() - before
        self._expect(f'{served} new calls at a drained target', not served)

    async def _make_calls(
        self,
        step: str,
        organisation: str,
        expected: set[str],
        *,
        calls: int = _CALLS_PER_STEP,
    ) -> None:
        """Make calls at once and check that exactly these outcomes occur."""
        outcomes: Counter[str] = Counter()

        async def call(index: int) -> None:
            host = self.fleet.hosts[index % len(self.fleet.hosts)]
            key = self.keys.get(organisation, _NO_KEY)
            answer = await self.fleet.call(host, self._example_path(), key=key)
            outcomes[answer.code or str(answer.status)] += 1

        async with trio.open_nursery() as nursery:
            for index in range(calls):
                nursery.start_soon(call, index)
        self.rows.append(TrialRow(step, organisation, dict(outcomes)))
        self._expect(f'{step}: {dict(outcomes)}', set(outcomes) == expected)

    def _expect(self, shown: str, is_met: bool) -> None:
        if not is_met:
            self.failures.append(shown)

    async def _wait_until_in_force(self) -> None:
        state = await self.operator.state()
        await self._wait_until(
            lambda: all(
                host.node.state.version >= state.version
                for host in self.fleet.hosts
            ),
        )

    async def _wait_until(self, is_reached: Callable[[], bool]) -> None:
        with trio.move_on_after(_IN_FORCE_SECONDS):
            while not is_reached():
                await trio.sleep(_POLL_SECONDS)
        self._expect('in force everywhere in time', is_reached())

    def _newest_events(self) -> list[Event]:
        """Return one event of each kind and reason, in order of time."""
        events = sorted(
            (
                event
                for host in self.fleet.hosts
                for event in host.node.timeline.events
                if event.kind is not EventKind.CHANGE_IN_FORCE
            ),
            key=lambda event: (event.micros, event.counter),
        )
        newest = {(event.kind, event.reason): event for event in events}
        return list(newest.values())[-_SHOWN_EVENTS:]

    def _example_path(self) -> str:
        service = self.text.services[0]
        pattern = service.routes[-1].path
        return f'/{service.name}{pattern}'.replace('**', 'x').replace('*', '7')


def plan_hosts(text: ServiceText) -> list[HostPlan]:
    """Plan hosts for each service, spread over the failure domains."""
    return [
        HostPlan(service=service.name, domain=_DOMAINS[index])
        for service in text.services
        for index in range(_TARGETS_PER_SERVICE)
    ]


def example_text(name: str) -> ServiceText:
    """Return one of the texts that ship with the command."""
    path = files('boragetrestle') / 'texts' / f'{name}.json'
    return parse_text(path.read_bytes())


def _burst_of(organisation: Organisation) -> float:
    return organisation.burst


def _name_of(organisation: Organisation) -> str:
    return organisation.name


def _event_row(event: Event) -> tuple[str, ...]:
    subject = event.subject or event.service
    return (
        event.node,
        event.kind.value,
        event.reason,
        event.organisation,
        subject,
    )
