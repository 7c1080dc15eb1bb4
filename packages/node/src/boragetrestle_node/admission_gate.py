"""Refuse calls at entry that a service below would refuse."""

from collections.abc import Callable
from typing import NamedTuple

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import OrgId, ServiceName
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_kernel.service_text import Service
from boragetrestle_node.admission_level import admitted_share
from boragetrestle_node.call import Call
from boragetrestle_node.fair_admission import FairAdmission
from boragetrestle_node.gate import Gate
from boragetrestle_node.graph_levels import combine_levels
from boragetrestle_node.level_table import LevelTable

_RETRY_SECONDS = 1.0
_LONGEST_RETRY_SECONDS = 8.0
_DEFAULT_WEIGHT = 1.0


class AdmissionInputs(NamedTuple):
    """What an admission policy may go by."""

    state: FleetState
    levels: LevelTable


AdmissionBuilder = Callable[[AdmissionInputs], Gate]
ADMISSION_POLICIES: dict[str, AdmissionBuilder] = {}


def admission_policy(
    name: str,
) -> Callable[[AdmissionBuilder], AdmissionBuilder]:
    """Register an admission policy under a name."""

    def register(build: AdmissionBuilder) -> AdmissionBuilder:
        ADMISSION_POLICIES[name] = build
        return build

    return register


@admission_policy('none')
class AdmitAll:
    """Leave every refusal to the guards of targets."""

    def __init__(self, _inputs: AdmissionInputs) -> None:
        """Take what other policies need."""

    def check(self, _call: Call) -> None:
        """Let the call pass."""


@admission_policy('call-graph')
class CallGraphGate:
    """Admit at entry what the whole graph below a service admits.

    A chain is checked once, where it enters, so that no work is done for a
    call that would be refused later. Levels are combined anew when they or
    the operators' graph change.
    """

    def __init__(self, inputs: AdmissionInputs) -> None:
        self.state = inputs.state
        self.levels = inputs.levels
        self.memo: dict[str, float] = {}
        self.memo_services: dict[str, Service] = {}
        self.memo_revision = -1
        self.fair: dict[tuple[ServiceName, CallClass], FairAdmission] = {}

    def check(self, call: Call) -> None:
        """Raise ``RefusedError`` if a service below would refuse the call."""
        if call.depth:
            return
        share = admitted_share(self.level_of(call.service), call.call_class)
        if self._fair(call).admits(call.organisation, share):
            return
        wait = _RETRY_SECONDS / max(share, _RETRY_SECONDS / 100)
        raise RefusedError(
            Refusal(
                RefusalCode.DEPENDENCY_OVERLOADED,
                retry_after=min(_LONGEST_RETRY_SECONDS, wait),
            ),
        )

    def level_of(self, service: ServiceName) -> float:
        """Return the level of a service with all that it depends on."""
        self.levels.expire()
        services = self.state.services
        if (
            self.memo_revision != self.levels.revision
            or self.memo_services is not services
        ):
            self.memo.clear()
            self.memo_services = services
            self.memo_revision = self.levels.revision
        return combine_levels(
            services,
            service,
            self.levels.of_service,
            self.memo,
        )

    def _fair(self, call: Call) -> FairAdmission:
        place = (call.service, call.call_class)
        fair = self.fair.get(place)
        if fair is None:
            fair = FairAdmission(self._weight)
            self.fair[place] = fair
        return fair

    def _weight(self, organisation: OrgId) -> float:
        known = self.state.organisations.get(organisation)
        return known.weight if known else _DEFAULT_WEIGHT
