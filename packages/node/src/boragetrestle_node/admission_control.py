"""Call-graph admission control of one node."""

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
    """Compose the gate at entry with the levels that it goes by.

    ``policy`` is a registered name. ``first_number`` has to be greater than
    any number that an earlier run of this node gave to a report.
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
