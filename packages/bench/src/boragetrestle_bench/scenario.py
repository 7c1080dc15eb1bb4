"""One run of a deployment under a demand."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import msgspec
import trio
import trio.testing

from boragetrestle_bench.demand import Demand
from boragetrestle_bench.deployment import Deployment
from boragetrestle_bench.load import Load
from boragetrestle_bench.outcome import Outcome
from boragetrestle_kernel.change import KeyGiven, SecretAdded, TextApplied
from boragetrestle_kernel.clock import VirtualWallClock
from boragetrestle_kernel.digest import digest_key
from boragetrestle_kernel.ids import KeyId, OrgId, Version
from boragetrestle_kernel.memory_network import MemoryNetwork
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.policies import Policies
from boragetrestle_platform.change_log import ChangeLog
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.fleet import Fleet
from boragetrestle_standin.scheduling import seed_scheduling
from boragetrestle_standin.work_log import WorkLog

SETTLE_SECONDS = 10.0

_SECRET = b'benchmark context secret'

Disturbance = Callable[[Fleet], Awaitable[None]]


class ScenarioRun(NamedTuple):
    """What a run left behind; outcome times count from the first demand."""

    outcomes: list[Outcome]
    work_log: WorkLog


class Scenario:
    """Run a deployment on the virtual clock.

    ``disturb`` runs beside the load, from its start.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        policies: Policies,
        seed: int,
        organisations: Sequence[Organisation] | None = None,
        disturb: Disturbance | None = None,
    ) -> None:
        self.deployment = deployment
        self.policies = policies
        self.seed = seed
        self.organisations = organisations or deployment.text.organisations
        self.disturb = disturb

    def run(self, demands: Sequence[Demand]) -> ScenarioRun:
        """Run the scenario to its end."""
        seed_scheduling(self.seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(self._run, demands, clock=clock)

    async def _run(self, demands: Sequence[Demand]) -> ScenarioRun:
        platform = Platform(MemoryTable(), MemoryObjects())
        keys = await self._configure(platform)
        work_log = WorkLog()
        fleet = Fleet(
            self.deployment.plans,
            network=MemoryNetwork(),
            platform=platform,
            clock=VirtualWallClock(),
            seed=self.seed,
            policies=self.policies,
            work_log=work_log,
        )
        load = Load(fleet, keys=keys, seed=self.seed)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(SETTLE_SECONDS)
            origin = trio.current_time()
            if self.disturb is not None:
                nursery.start_soon(self.disturb, fleet)
            await load.run(demands)
            nursery.cancel_scope.cancel()
        return ScenarioRun(_since(load.outcomes, origin), work_log)

    async def _configure(self, platform: Platform) -> dict[str, str]:
        text = msgspec.structs.replace(
            self.deployment.text,
            organisations=tuple(self.organisations),
        )
        names = [org.name for org in text.organisations]
        changes: list[SecretAdded | TextApplied | KeyGiven] = [
            SecretAdded(1, _SECRET),
            TextApplied(text),
            *(
                KeyGiven(KeyId(name), digest_key(name), OrgId(name))
                for name in names
            ),
        ]
        log = ChangeLog(platform.table)
        for version, change in enumerate(changes):
            await log.append(change, expected=Version(version))
        return {name: name for name in names}


def _since(outcomes: Sequence[Outcome], origin: float) -> list[Outcome]:
    return [
        outcome._replace(
            sent_at=outcome.sent_at - origin,
            ended_at=outcome.ended_at - origin,
        )
        for outcome in outcomes
    ]
