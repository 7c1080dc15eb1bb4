"""Replace the nodes of an earlier build one by one under load, and back.

``python tests/soak_upgrade.py CHECKOUT --seeds 3`` starts all nodes from the
checkout, replaces them by nodes of this tree, and those by nodes of the
checkout again, while targets drain and name limits, keys are withdrawn and an
organisation sends more than its rate.
"""

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from soak_host import GRACE_SECONDS, ROOT, SoakHost
from soak_run import (
    FAULTS,
    HOSTS,
    SHOWN_FAULTS,
    Soak,
    send_long,
)
from soak_witness import Build, Rate

PLANS = (
    'configuration_changes',
    'key_withdrawn',
    'target_drain',
    'target_names_limit',
)
RATED_KEY = 'key-rated'
RATE = Rate(per_second=12, burst=12)
RATED_CALLERS = 4  # send several times the rate
PLAN_REST_SECONDS = (0.5, 3.0)
STOP_REST_SECONDS = (0.0, 0.5)
LONG_CALLERS = 2
ROUNDS_PER_KEY = 3
HTTP_TOO_MANY = 429


class Upgrade(Soak):
    """One seed: a fleet whose nodes are replaced, forward and back."""

    calm_plans = frozenset(PLANS)

    def __init__(
        self,
        seed: int,
        folder: Path,
        earlier: Path,
        *,
        hosts: int = HOSTS,
        grace_seconds: float = GRACE_SECONDS,
    ) -> None:
        super().__init__(
            seed,
            folder,
            (earlier,),
            PLANS,
            hosts=hosts,
            grace_seconds=grace_seconds,
        )
        self.earlier = earlier
        self.witness.owners[RATED_KEY] = 'org-rated'
        self.witness.rates[RATED_KEY] = RATE
        self.rounds = 0
        self.replaced = 0
        self.not_replaced: list[str] = []

    def callers(self) -> list[Coroutine[Any, Any, None]]:
        """Return the usual callers, and those of the rated organisation."""
        usual = super().callers()
        rated = range(len(usual), len(usual) + RATED_CALLERS)
        return [
            *usual,
            *(self.call_on(number, RATED_KEY) for number in rated),
        ]

    async def harm_for(self, seconds: float) -> None:
        """Play plans while nodes are replaced."""
        replacing = asyncio.create_task(self._replace_all(seconds))
        under_way: list[asyncio.Task[None]] = []
        names: list[str] = []
        while not replacing.done():
            names = names or self._next_plans()
            self.played.append(names.pop())
            plan = FAULTS[self.played[-1]]
            under_way.append(asyncio.create_task(plan(self)))
            rest = self.chance.uniform(*PLAN_REST_SECONDS)
            await asyncio.wait({replacing}, timeout=rest)
        await asyncio.gather(replacing, *under_way)

    def _next_plans(self) -> list[str]:
        """Return the plans in some order.

        Limits last long, so none is named once nodes are replaced back. Keys are
        withdrawn in some rounds only, so that most stay valid.
        """
        self.rounds += 1
        plans = self.chance.sample(self.plans, len(self.plans))
        if self.replaced >= len(self.hosts):
            plans.remove('target_names_limit')
        if self.rounds % ROUNDS_PER_KEY != 1:
            plans.remove('key_withdrawn')
        return plans

    def gaps(self) -> list[str]:
        """Return what the seed did not come to."""
        has_refusals = any(
            sent.key == RATED_KEY and sent.status == HTTP_TOO_MANY
            for sent in self.witness.sent
        )
        reached = {
            f'{RATED_KEY} is at its rate': has_refusals,
            'the earlier build sends runs to the current one': self.forward,
            'the current build sends runs to the earlier one': self.back,
        }
        return [what for what, count in reached.items() if not count]

    @property
    def forward(self) -> int:
        """How many runs went from the earlier build to the current one."""
        return self.witness.run_between(Build.EARLIER, Build.CURRENT)

    @property
    def back(self) -> int:
        """How many runs went from the current build to the earlier one."""
        return self.witness.run_between(Build.CURRENT, Build.EARLIER)

    async def _replace_all(self, seconds: float) -> None:
        """Replace each node by the current build, then by the earlier one.

        No node is replaced later than ``seconds`` after the first.
        """
        for host in self.hosts:
            await host.wait_until_ready()
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        for build in (ROOT, self.earlier):
            for host in self.chance.sample(self.hosts, len(self.hosts)):
                if loop.time() < until:
                    await self._replace(host, build)
                else:
                    which = 'current' if build == ROOT else 'earlier'
                    line = f'node {host.number} replaced by the {which} build'
                    self.not_replaced.append(line)

    async def _replace(self, host: SoakHost, build: Path) -> None:
        until = asyncio.get_running_loop().time() + host.grace_seconds
        async with asyncio.TaskGroup() as callers:
            for number in range(LONG_CALLERS):
                callers.create_task(
                    send_long(self, host, until, is_kept=number % 2 == 0)
                )
            await asyncio.sleep(self.chance.uniform(*STOP_REST_SECONDS))
            await host.replace(build)
        self.replaced += 1


@dataclass(frozen=True, slots=True)
class Verdict:
    """What one seed of an upgrade showed."""

    faults: list[str]
    # What stops of the earlier build cut or gave up: no fault of this tree.
    earlier_losses: list[str]
    unanswered: list[str]
    not_run: list[str]
    summary: str


def play_upgrade(
    seed: int,
    *,
    earlier: Path,
    folder: Path,
    seconds: float,
    hosts: int = HOSTS,
    grace_seconds: float = GRACE_SECONDS,
) -> Verdict:
    """Play one seed against the build of a checkout."""
    upgrade = Upgrade(
        seed,
        folder,
        earlier,
        hosts=hosts,
        grace_seconds=grace_seconds,
    )
    played = asyncio.run(upgrade.play(seconds))
    witness = upgrade.witness
    earlier_losses = [
        *witness.cuts_by(Build.EARLIER),
        *witness.given_up_by(Build.EARLIER, grace_seconds),
    ]
    statuses = Counter(sent.status for sent in witness.sent)
    plans = Counter(upgrade.played)
    return Verdict(
        [
            *(line for line in played if line not in earlier_losses),
            *witness.given_up_by(Build.CURRENT, grace_seconds),
        ],
        earlier_losses,
        witness.unanswered_lines(),
        [*upgrade.not_replaced, *upgrade.gaps()],
        f'{upgrade.replaced} nodes replaced, {len(witness.runs)} runs, '
        f'{upgrade.forward} to the current build and {upgrade.back} from it, '
        f'statuses {dict(sorted(statuses.items()))}, '
        f'plans {dict(sorted(plans.items()))}',
    )


def main() -> int:
    """Play a range of seeds; return whether one broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('earlier', type=Path, help='checkout of a build')
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=240.0)
    chosen = parser.parse_args()
    broken = False
    for seed in range(chosen.first, chosen.first + chosen.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f'upgrade-{seed}-'))
        verdict = play_upgrade(
            seed,
            earlier=chosen.earlier.resolve(),
            folder=folder,
            seconds=chosen.seconds,
        )
        broken = broken or bool(verdict.faults)
        lines = [
            f'seed {seed}: {len(verdict.faults)} broken, '
            f'{len(verdict.unanswered)} unanswered, '
            f'{len(verdict.earlier_losses)} lost by the earlier build, '
            f'logs in {folder}',
            f'  {verdict.summary}',
            *(f'  {line}' for line in verdict.faults[:SHOWN_FAULTS]),
            *(f'  {line}' for line in verdict.earlier_losses[:SHOWN_FAULTS]),
            *(f'  {line}' for line in verdict.unanswered),
            *(f'  not run: {line}' for line in verdict.not_run),
        ]
        sys.stdout.write('\n'.join([*lines, '']))
        sys.stdout.flush()
    return int(broken)


if __name__ == '__main__':
    sys.exit(main())
