"""Refuse calls at their entry node that a dependency would refuse."""

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

_MIN_RETRY_SECONDS = 1.0
_MAX_RETRY_SECONDS = 8.0
_DEFAULT_WEIGHT = 1.0


class AdmissionInputs(NamedTuple):
    """What an admission policy may decide by."""

    state: FleetState
    levels: LevelTable


AdmissionBuilder = Callable[[AdmissionInputs], Gate]
ADMISSION_POLICIES: dict[str, AdmissionBuilder] = {}


def admission_policy(
    name: str,
) -> Callable[[AdmissionBuilder], AdmissionBuilder]:
    """Register an admission policy under a name."""

    def register(builder: AdmissionBuilder) -> AdmissionBuilder:
        ADMISSION_POLICIES[name] = builder
        return builder

    return register


@admission_policy('none')
class AdmitAll:
    """Admit all calls; only the guards beside targets refuse."""

    def __init__(self, _inputs: AdmissionInputs) -> None:
        """Accept the inputs that other policies need."""

    def check(self, _call: Call) -> None:
        """Let the call pass."""


@admission_policy('call-graph')
class CallGraphGate:
    """Admit the share of calls that a service and its dependencies admit.

    Only calls from outside are checked, at the node that takes them in, so that
    no work is done for a call that would be refused deeper in the chain.
    Combined levels are cached until levels or the services text change.
    """

    def __init__(self, inputs: AdmissionInputs) -> None:
        self.state = inputs.state
        self.levels = inputs.levels
        self.memo: dict[str, float] = {}
        self.memo_services: dict[str, Service] = {}
        self.memo_revision = -1
        self.fair_admissions: dict[
            tuple[ServiceName, CallClass], FairAdmission
        ] = {}

    def check(self, call: Call) -> None:
        """Raise ``RefusedError`` if the call is beyond the admitted share."""
        if call.depth:
            return
        share = admitted_share(
            self.combined_level(call.service), call.call_class
        )
        if self._fair_admission(call).admits(call.organisation, share):
            return
        wait = _MIN_RETRY_SECONDS / max(share, _MIN_RETRY_SECONDS / 100)
        raise RefusedError(
            Refusal(
                RefusalCode.DEPENDENCY_OVERLOADED,
                retry_after=min(_MAX_RETRY_SECONDS, wait),
            ),
        )

    def combined_level(self, service: ServiceName) -> float:
        """Return the level of a service, limited by its dependencies."""
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
            self.levels.service_level,
            self.memo,
        )

    def _fair_admission(self, call: Call) -> FairAdmission:
        key = (call.service, call.call_class)
        admission = self.fair_admissions.get(key)
        if admission is None:
            admission = FairAdmission(self._weight)
            self.fair_admissions[key] = admission
        return admission

    def _weight(self, organisation: OrgId) -> float:
        known = self.state.organisations.get(organisation)
        return known.weight if known else _DEFAULT_WEIGHT
