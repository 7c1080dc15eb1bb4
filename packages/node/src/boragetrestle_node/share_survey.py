"""Take the shares that are placed at this node, before any demand."""

import random
from collections.abc import Collection

import trio

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_node.share_holder import ShareHolder
from boragetrestle_node.share_placement import SharePlacement
from boragetrestle_node.share_table import ShareId

STARTUP_INTERVAL_SECONDS = 1.0
SURVEY_INTERVAL_SECONDS = 30.0
MAX_SHARES_PER_SURVEY = 200

_JITTER = (0.5, 1.0)
_ORGANISATIONS_PER_CHECKPOINT = 100


class ShareSurvey:
    """Take shares without a holder from time to time.

    A share that is held before an outage of the store stays usable in it.
    """

    def __init__(
        self,
        holder: ShareHolder,
        placement: SharePlacement,
        *,
        state: FleetState,
        address: str,
        rng: random.Random,
    ) -> None:
        self.holder = holder
        self.placement = placement
        self.state = state
        self.address = address
        self.rng = rng

    async def run(self) -> None:
        """Survey until cancelled."""
        pause = STARTUP_INTERVAL_SECONDS
        while True:
            await trio.sleep(pause * self.rng.uniform(*_JITTER))
            is_done = await self.holder.take_all(await self._unheld_shares())
            is_known = is_done and self.state.version
            pause = (
                SURVEY_INTERVAL_SECONDS
                if is_known
                else STARTUP_INTERVAL_SECONDS
            )

    def is_placed_here(self, key: ShareId) -> bool:
        """Tell whether the placement puts a share at this node."""
        place = self.placement.address(key.organisation, key.share)
        return str(place) == self.address

    async def _unheld_shares(self) -> Collection[ShareId]:
        unheld: list[ShareId] = []
        names = list(self.state.organisations)
        for count, name in enumerate(names):
            if not count % _ORGANISATIONS_PER_CHECKPOINT:
                await trio.lowlevel.checkpoint()
            for share in range(self.holder.terms.shares):
                key = ShareId(name, share)
                if self.holder.may_take(key) and self.is_placed_here(key):
                    unheld.append(key)
        return unheld[:MAX_SHARES_PER_SURVEY]
