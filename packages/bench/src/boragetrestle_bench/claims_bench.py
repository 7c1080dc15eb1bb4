"""Claims a second and their latency, with and without combined writes."""

import random
from collections.abc import Sequence
from typing import NamedTuple

import trio
import trio.testing

from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.registry import benchmark
from boragetrestle_kernel.errors import StoreError
from boragetrestle_node.claim_table import ClaimTable
from boragetrestle_node.policies import Policies
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.table import Committed, Transaction
from boragetrestle_platform.write_combiner import (
    WINDOW_SECONDS,
    WriteCombiner,
)

COMMIT_SECONDS = 0.004
COMMITS_PER_SECOND = 400
TIMEOUT_SECONDS = 2.0

_RATES = (100, 1_000)
_SECONDS = 10.0
_MIN_SHARE = 0.99
_MAX_ADDED_SECONDS = 0.02
_TAIL = 0.99


class BusyTable(MemoryTable):
    """A table that takes one commit after another at a limited rate."""

    def __init__(self) -> None:
        super().__init__()
        self.free_at = 0.0

    async def commit(self, transaction: Transaction) -> Committed:
        """Apply a transaction once its turn has come."""
        now = trio.current_time()
        self.free_at = max(now, self.free_at) + 1 / COMMITS_PER_SECOND
        await trio.sleep_until(self.free_at + COMMIT_SECONDS)
        return self.commit_now(transaction)


class ClaimFigures(NamedTuple):
    """Claims and commits a second, and the latency of claims in seconds.

    ``share`` is the part of the arrivals that was claimed within the timeout.
    """

    claims: float
    share: float
    commits: float
    median: float
    tail: float


class ClaimLoad:
    """Make claims at a rate, as one node does."""

    def __init__(self, *, rate: float, window: float, seed: int) -> None:
        self.rate = rate
        self.rng = random.Random(seed)
        self.table = BusyTable()
        self.combiner = WriteCombiner(self.table, window=window)
        self.claims = ClaimTable(
            self.table,
            self.combiner,
            trio.current_time,
        )
        self.latencies: list[float] = []
        self.arrived = 0

    def run(self) -> ClaimFigures:
        """Return the figures of one run on the virtual clock."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._run, clock=clock)
        ordered = sorted(self.latencies)
        return ClaimFigures(
            claims=len(ordered) / _SECONDS,
            share=len(ordered) / self.arrived,
            commits=self.table.commits / _SECONDS,
            median=ordered[len(ordered) // 2],
            tail=ordered[int(len(ordered) * _TAIL)],
        )

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self.combiner.run)
            with trio.move_on_after(_SECONDS):
                async with trio.open_nursery() as callers:
                    await self._arrive(callers)
            nursery.cancel_scope.cancel()

    async def _arrive(self, callers: trio.Nursery) -> None:
        while True:
            await trio.sleep(self.rng.expovariate(self.rate))
            self.arrived += 1
            callers.start_soon(self._claim, f'claim/{self.arrived}')

    async def _claim(self, row_key: str) -> None:
        started_at = trio.current_time()
        try:
            with trio.fail_after(TIMEOUT_SECONDS):
                claim = await self.claims.build_claim(
                    row_key,
                    fingerprint='',
                    remaining=1,
                )
                await self.claims.write_if_unchanged(claim)
        except (StoreError, trio.TooSlowError):
            return
        self.latencies.append(trio.current_time() - started_at)


@benchmark('claims-combining', has_policies=False)
def measure_combining(_policies: Policies, seed: int) -> Sequence[Figure]:
    """Compare combined claims with one transaction a claim."""
    figures: list[Figure] = []
    for rate in _RATES:
        single = ClaimLoad(rate=rate, window=0, seed=seed).run()
        joint = ClaimLoad(rate=rate, window=WINDOW_SECONDS, seed=seed).run()
        figures += _compare(rate, single, joint)
    return figures


def _compare(
    rate: float,
    single: ClaimFigures,
    joint: ClaimFigures,
) -> list[Figure]:
    return [
        Figure(f'{rate}/s: claims a second, single', single.claims),
        Figure(f'{rate}/s: claims a second, combined', joint.claims),
        Figure(f'{rate}/s: share claimed in time, single', single.share),
        Figure(
            f'{rate}/s: share claimed in time, combined',
            joint.share,
            bound=_MIN_SHARE,
            source='design: no claim is lost to a busy table',
        ),
        Figure(f'{rate}/s: commits a second, single', single.commits),
        Figure(
            f'{rate}/s: commits a second, combined',
            joint.commits,
            bound=COMMITS_PER_SECOND,
            limit=Limit.AT_MOST,
            source='brief: several hundred writes a second',
        ),
        Figure(f'{rate}/s: median latency, single (s)', single.median),
        Figure(f'{rate}/s: median latency, combined (s)', joint.median),
        Figure(f'{rate}/s: p99 latency, single (s)', single.tail),
        Figure(
            f'{rate}/s: p99 latency, combined (s)',
            joint.tail,
            bound=_MAX_ADDED_SECONDS,
            limit=Limit.AT_MOST,
            source='design: at most 20 ms',
        ),
    ]
