"""Take the shares that belong at this node, ahead of any demand."""

import random
from collections.abc import Collection

import trio

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_node.share_holder import ShareHolder
from boragetrestle_node.share_places import SharePlaces
from boragetrestle_node.share_table import ShareId

FIRST_SECONDS = 1.0
SURVEY_SECONDS = 30.0
MAX_SHARES = 200

_JITTER = (0.5, 1.0)
_STEP = 100


class ShareSurvey:
    """Look for shares without a holder once in a while.

    Shares that are held before an outage of the store serve through it.
    """

    def __init__(
        self,
        holder: ShareHolder,
        places: SharePlaces,
        *,
        state: FleetState,
        address: str,
        rng: random.Random,
    ) -> None:
        self.holder = holder
        self.places = places
        self.state = state
        self.address = address
        self.rng = rng

    async def run(self) -> None:
        """Survey until cancelled."""
        pause = FIRST_SECONDS
        while True:
            await trio.sleep(pause * self.rng.uniform(*_JITTER))
            is_done = await self.holder.take_all(await self._missing())
            is_known = is_done and self.state.version
            pause = SURVEY_SECONDS if is_known else FIRST_SECONDS

    def is_placed_here(self, key: ShareId) -> bool:
        """Tell whether a share belongs at this node."""
        place = self.places.address(key.organisation, key.share)
        return str(place) == self.address

    async def _missing(self) -> Collection[ShareId]:
        missing: list[ShareId] = []
        names = list(self.state.organisations)
        for count, name in enumerate(names):
            if not count % _STEP:
                await trio.lowlevel.checkpoint()
            for share in range(self.holder.terms.shares):
                key = ShareId(name, share)
                if self.holder.may_take(key) and self.is_placed_here(key):
                    missing.append(key)
        return missing[:MAX_SHARES]
