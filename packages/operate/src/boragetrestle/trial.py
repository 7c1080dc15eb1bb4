"""Run the whole path in one process on the embedded platform."""

from collections import Counter
from importlib.resources import files
from typing import NamedTuple

import trio

from boragetrestle.operator import Operator
from boragetrestle_kernel.network import Network, TcpNetwork
from boragetrestle_kernel.service_text import ServiceText
from boragetrestle_kernel.text_check import parse_text
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.fleet import Fleet
from boragetrestle_standin.host_plan import HostPlan

_DOMAINS = ('a', 'b', 'c')
_TARGETS_PER_SERVICE = 2
_SETTLE_SECONDS = 2.5
_CALLS_PER_ROUND = 20


class TrialRow(NamedTuple):
    """What became of the calls of one step."""

    step: str
    organisation: str
    outcomes: dict[str, int]


class Trial:
    """A small fleet that runs one example text."""

    def __init__(self, name: str, *, network: Network | None = None) -> None:
        self.text = example_text(name)
        platform = Platform(MemoryTable(), MemoryObjects())
        self.operator = Operator(platform, name='trial')
        self.fleet = Fleet(
            plan_hosts(self.text),
            network=network or TcpNetwork(),
            platform=platform,
        )
        self.rows: list[TrialRow] = []

    async def run(self) -> list[TrialRow]:
        """Run every step and return what was seen."""
        await self.operator.apply(self.text)
        async with trio.open_nursery() as nursery:
            await self.fleet.start(nursery)
            await trio.sleep(_SETTLE_SECONDS)
            await self._use_fleet()
            nursery.cancel_scope.cancel()
        return self.rows

    async def _use_fleet(self) -> None:
        first, second = (org.name for org in self.text.organisations[:2])
        given = await self.operator.give_key(first)
        other = await self.operator.give_key(second)
        await trio.sleep(_SETTLE_SECONDS)
        await self._round('calls with keys', first, given.key)
        await self._round('calls with keys', second, other.key)
        await self.operator.withdraw_key(given.key_id)
        await trio.sleep(_SETTLE_SECONDS)
        await self._round('after the key is withdrawn', first, given.key)
        await self._drain_first(second, other.key)

    async def _drain_first(self, organisation: str, key: str) -> None:
        drained = self.fleet.hosts[0]
        await drained.node.membership.drain()
        await trio.sleep(_SETTLE_SECONDS)
        before = drained.target.calls.total()
        await self._round('after a target drained', organisation, key)
        served = drained.target.calls.total() - before
        outcomes = {'calls at the drained target': served}
        self.rows.append(TrialRow('after a target drained', '', outcomes))

    async def _round(self, step: str, organisation: str, key: str) -> None:
        outcomes: Counter[str] = Counter()
        path = self._path()
        for place in range(_CALLS_PER_ROUND):
            host = self.fleet.hosts[place % len(self.fleet.hosts)]
            answer = await self.fleet.call(host, path, key=key)
            outcomes[answer.code or str(answer.status)] += 1
        self.rows.append(TrialRow(step, organisation, dict(outcomes)))

    def _path(self) -> str:
        service = self.text.services[0]
        pattern = service.routes[-1].path
        return f'/{service.name}{pattern}'.replace('**', 'x').replace('*', '7')


def plan_hosts(text: ServiceText) -> list[HostPlan]:
    """Plan hosts for each service, spread over the failure domains."""
    return [
        HostPlan(service=service.name, domain=_DOMAINS[place])
        for service in text.services
        for place in range(_TARGETS_PER_SERVICE)
    ]


def example_text(name: str) -> ServiceText:
    """Return one of the texts that ship with the command."""
    path = files('boragetrestle') / 'texts' / f'{name}.json'
    return parse_text(path.read_bytes())
