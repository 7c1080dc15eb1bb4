"""The state of one caller's request at its entry."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from boragetrestle_sidecar.suspects import fingerprint

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import RequestId, ServiceName
    from boragetrestle_sidecar.caller_request import CallerRequest
    from boragetrestle_sidecar.hop import Hop
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.outcome import Reason
    from boragetrestle_sidecar.pending_answer import PendingAnswer
    from boragetrestle_sidecar.route_policy import RoutePolicy


@dataclass(slots=True, eq=False)
class EntryRequest:
    """One request, with the decisions and attempts made so far.

    ``caller_expires_at`` is when the caller's time is up, ``expires_at`` when
    that or the route's limit is up, and ``goal_at`` when the route's response
    time goal has passed. ``placements`` counts the guards that were asked.
    ``avoided_guards`` are the addresses of guards that a retry doesn't go to.
    ``run_token`` identifies the run at ``hop``, the connection to the guard
    that was asked last, and ``guard_address`` is that guard's address.
    ``is_held`` tells that it has waited here for capacity to return.
    ``attempts`` counts the targets that were sent the request, and
    ``may_have_run`` tells whether one of them may have run it.
    """

    answer: 'PendingAnswer'
    request: 'CallerRequest'
    request_id: 'RequestId'
    route: 'RoutePolicy'
    service: 'ServiceName'
    organisation: 'OrganisationPolicy | None'
    arrived_at: float
    expires_at: float
    goal_at: float
    caller_expires_at: float
    head: bytes = b''
    attempts: int = 0
    placements: int = 0
    may_have_run: bool = False
    is_over: bool = False
    is_held: bool = False
    hop: 'Hop | None' = None
    run_token: int = 0
    guard_address: str = ''
    avoided_guards: list[str] = field(default_factory=list)
    last_reason: 'Reason | None' = None

    @property
    def log_id(self) -> str:
        """The request's id as text for log lines."""
        return self.request_id.decode('latin-1')

    @property
    def fingerprint(self) -> str:
        """A hash that is the same whenever the request is sent again."""
        organisation = self.organisation
        return fingerprint(
            organisation.terms.name if organisation else '',
            self.request.request_target,
            self.request.body,
        )
