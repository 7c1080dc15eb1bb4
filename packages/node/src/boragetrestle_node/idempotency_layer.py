"""Compose the parts of a node that run keyed calls at most once."""

import random
from collections.abc import Callable

import trio

from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.at_most_once import AtMostOnce
from boragetrestle_node.byte_budget import ByteBudget
from boragetrestle_node.claim_replay import ClaimReplay
from boragetrestle_node.claim_sweeper import ClaimSweeper
from boragetrestle_node.claim_table import ClaimTable
from boragetrestle_node.dispatcher import Dispatcher
from boragetrestle_node.outcome_writer import OutcomeWriter
from boragetrestle_platform.guarded_platform import GuardedPlatform
from boragetrestle_platform.write_combiner import (
    WINDOW_SECONDS,
    WriteCombiner,
)

MAX_KEPT_BYTES_PER_NODE = 4_194_304


class IdempotencyLayer:
    """Compose the dispatch of claimed calls with its background tasks.

    ``window`` is the time in seconds in which writes are combined.
    """

    def __init__(
        self,
        store: GuardedPlatform,
        *,
        dispatcher: Dispatcher,
        timeline: Timeline,
        node_count: Callable[[], int],
        rng: random.Random,
        window: float = WINDOW_SECONDS,
    ) -> None:
        budget = ByteBudget(MAX_KEPT_BYTES_PER_NODE)
        self.combiner = WriteCombiner(store.table, window=window)
        claims = ClaimTable(
            store.table, self.combiner, store.table.earliest_store_time
        )
        self.outcomes = OutcomeWriter(
            claims,
            store.objects,
            budget=budget,
            timeline=timeline,
            rng=rng,
        )
        self.sweeper = ClaimSweeper(
            store.table,
            store.objects,
            node_count=node_count,
            rng=rng,
        )
        self.at_most_once = AtMostOnce(
            dispatcher,
            claims=claims,
            outcomes=self.outcomes,
            replay=ClaimReplay(store.objects),
            budget=budget,
            rng=rng,
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Write claims and outcomes and delete expired ones until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.combiner.run)
            await nursery.start(self.outcomes.run)
            nursery.start_soon(self.sweeper.run)
            task_status.started()
