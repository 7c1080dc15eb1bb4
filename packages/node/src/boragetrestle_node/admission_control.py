"""Wiring of the admission control of one node."""

import random

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.admission_gate import (
    ADMISSION_POLICIES,
    AdmissionInputs,
)
from boragetrestle_node.directory import Directory
from boragetrestle_node.gossip import Gossip
from boragetrestle_node.guards import Guards
from boragetrestle_node.level_spread import LevelSpread
from boragetrestle_node.level_table import LevelTable


class AdmissionControl:
    """Build the admission gate and the levels that it decides by.

    ``policy`` is the registered name of an admission policy. ``first_number``
    has to be greater than the number of any level report that an earlier
    process of this node sent, since nodes ignore lower numbers.
    """

    def __init__(
        self,
        policy: str,
        gossip: Gossip,
        *,
        state: FleetState,
        directory: Directory,
        guards: Guards,
        timeline: Timeline,
        rng: random.Random,
        first_number: int,
    ) -> None:
        self.levels = LevelTable(directory)
        self.spread = LevelSpread(
            self.levels,
            gossip,
            timeline,
            signals=guards.signals,
            rng=rng,
            first_number=first_number,
        )
        self.gate = ADMISSION_POLICIES[policy](
            AdmissionInputs(state=state, levels=self.levels),
        )
