"""Explain where a request would be sent now, without sending it.

The explanation comes from the functions that place requests. It takes no token
and no slot, counts nothing and asks no other node. The view of this node's own
guard is brought up to date, as for each request.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from boragetrestle_sidecar.guard_probe import FRESH_SECONDS, PROBED_GUARDS
from boragetrestle_sidecar.outcome import Reason
from boragetrestle_sidecar.placement import (
    EXPLORATION_SHARE,
    MAX_COMPARED_GUARDS,
    GuardView,
    expected_costs,
    find_candidates,
)
from boragetrestle_sidecar.region_policy import (
    allowed_regions,
    guards_in_regions,
    reason_without_guard,
)

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import (
        DomainName,
        NodeId,
        RegionName,
        RouteName,
        ServiceName,
        Version,
    )
    from boragetrestle_sidecar.entry import Entry
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.route_policy import RoutePolicy


class RuledOut(StrEnum):
    """Why a guard is no candidate."""

    EVACUATED = 'domain-evacuated'
    REGION = 'region-not-allowed'
    CLOSED = 'closed'
    UNRESPONSIVE = 'unresponsive'


@dataclass(frozen=True, slots=True)
class GuardExplanation:
    """One linked guard as this node knows it.

    ``unconfirmed`` counts runs sent there since it last reported its load,
    ``load_age`` seconds ago. ``expected_seconds`` are those by which candidates
    are compared, ``None`` for a guard that is no candidate.
    """

    address: str
    domain: str
    region: str
    is_open: bool
    running: int
    waiting: int
    unconfirmed: int
    limit: float
    failing_share: float
    load_age: float
    expected_seconds: float | None
    ruled_out: tuple[RuledOut, ...]


@dataclass(frozen=True, slots=True)
class RouteExplanation:
    """Where a request would be sent now and why.

    ``services`` holds the weight of each service of the route; ``service`` is
    the one that the next request goes to. ``rate`` and ``burst`` are those of
    the organisation's rate limit, ``None`` without one. ``regions`` is ``None``
    if all are allowed, and ``admission_share`` without a plan for the route.
    ``choice`` and ``next_best`` are addresses of guards, empty without one;
    ``refusal`` is the reason for refusal without a choice. ``unknown`` says
    what could not be considered.
    """

    node: 'NodeId'
    version: 'Version'
    route: 'RouteName'
    may_repeat: bool
    organisation: str
    services: 'dict[ServiceName, float]'
    service: 'ServiceName'
    regions: 'tuple[RegionName, ...] | None'
    rate: float | None
    burst: float | None
    admission_share: float | None
    candidates: tuple[GuardExplanation, ...]
    choice: str
    next_best: str
    refusal: Reason
    unknown: tuple[str, ...]


class _Guards(NamedTuple):
    """The guards of a service, each list a part of the one before.

    ``reachable`` lie in no evacuated domain, ``allowed`` in an allowed region,
    and one of the ``candidates`` is chosen.
    """

    linked: Sequence[GuardView]
    reachable: Sequence[GuardView]
    allowed: Sequence[GuardView]
    candidates: Sequence[GuardView]


class RouteExplainer:
    """Explain the placements of an entry."""

    def __init__(self, entry: 'Entry') -> None:
        self.entry = entry

    def explain(
        self,
        route: 'RoutePolicy',
        organisation: 'OrganisationPolicy | None' = None,
    ) -> RouteExplanation:
        """Return where a request of an organisation would be sent now."""
        entry = self.entry
        assert entry.configuration is not None
        if not route.needs_key:
            organisation = None
        service = entry.service_split.peek(route) or _main_service(route)
        regions = allowed_regions(route, organisation)
        guards = self._find_guards(service, regions)
        costs = _costs_by_address(guards.candidates, entry.settings.domain)
        ranked = sorted(costs, key=costs.__getitem__)
        choice, next_best, *_ = (*ranked, '', '')
        terms = organisation.terms if organisation else None
        is_limited = organisation is not None and organisation.is_limited
        return RouteExplanation(
            node=entry.settings.node,
            version=entry.configuration.version,
            route=route.name,
            may_repeat=route.may_repeat,
            organisation=terms.name if terms else '',
            services={share.service: share.weight for share in route.shares},
            service=service,
            regions=None if regions is None else tuple(sorted(regions)),
            rate=terms.rate if terms and is_limited else None,
            burst=terms.burst if terms and is_limited else None,
            admission_share=self._admission_share(route),
            candidates=tuple(
                self._explain_guard(guard, guards, costs.get(guard.address))
                for guard in guards.linked
            ),
            choice=choice,
            next_best=next_best,
            refusal=Reason.NONE
            if choice
            else reason_without_guard(guards.reachable, guards.allowed),
            unknown=tuple(
                self._find_unknown(route, organisation, service, guards)
            ),
        )

    def _find_guards(
        self,
        service: 'ServiceName',
        regions: 'frozenset[RegionName] | None',
    ) -> _Guards:
        fleet = self.entry.fleet
        reachable = fleet.guards_of(service)
        allowed = guards_in_regions(
            reachable, regions, self.entry.settings.regions
        )
        candidates = find_candidates(
            allowed, avoided=(), is_responsive=fleet.is_responsive
        )
        linked = fleet.linked_guards_of(service)
        return _Guards(linked, reachable, allowed, candidates)

    def _admission_share(self, route: 'RoutePolicy') -> float | None:
        if not route.needs_key:
            return 1.0
        return self.entry.admission.admitted_shares.get(route.name)

    def _explain_guard(
        self,
        guard: GuardView,
        guards: _Guards,
        cost: float | None,
    ) -> GuardExplanation:
        settings = self.entry.settings
        region = settings.regions.get(
            guard.domain,  # type: ignore[call-overload]
            '',
        )
        return GuardExplanation(
            address=guard.address,
            domain=guard.domain,
            region=region,
            is_open=guard.is_open,
            running=guard.running,
            waiting=guard.waiting,
            unconfirmed=guard.unconfirmed_runs,
            limit=guard.limit,
            failing_share=guard.failing_share,
            load_age=self.entry.clock() - guard.heard_at,
            expected_seconds=cost,
            ruled_out=_reasons_against(guard, guards),
        )

    def _find_unknown(
        self,
        route: 'RoutePolicy',
        organisation: 'OrganisationPolicy | None',
        service: 'ServiceName',
        guards: _Guards,
    ) -> Iterable[str]:
        """Return what isn't known at this node or depends on the request."""
        entry = self.entry
        candidates = len(guards.candidates)
        stale = len(entry.probe.stale_guards(guards.allowed))
        linked = {guard.address for guard in guards.linked}
        unlinked = sum(
            member.service == service and address not in linked
            for address, member in entry.fleet.members.items()
        )
        checks = (
            (
                entry.is_stopping,
                'how long callers still send requests here: the node is '
                'stopping',
            ),
            (
                route.needs_key and organisation is None,
                'the regions and the rate limit of the caller: no organisation '
                'was named',
            ),
            (
                organisation is not None and organisation.is_limited,
                'whether the rate limit has a token left: none is taken to '
                'find out',
            ),
            (
                self._admission_share(route) is None,
                'the admission share: there is no plan yet, so all requests of '
                'the route are admitted',
            ),
            (
                entry.service_split.peek(route) is None,
                'the service of the next request: the first one is left to '
                'chance, the service with the greatest weight is shown',
            ),
            (
                bool(entry.suspects.crashes),
                'whether the request is blocked since it crashes targets: '
                'that depends on its body',
            ),
            (
                stale > 0,
                f'the present load of {stale} guards: it is older than '
                f'{FRESH_SECONDS} s, and a request asks up to {PROBED_GUARDS} '
                'of them first',
            ),
            (
                unlinked > 0,
                f'the load of {unlinked} guards of the service from which this '
                'node hears nothing; it sends them nothing',
            ),
            (
                candidates > MAX_COMPARED_GUARDS,
                f'which {MAX_COMPARED_GUARDS} of the {candidates} candidates '
                'are compared: each request compares others, at random',
            ),
            (
                candidates > 1,
                'whether the request is one of the '
                f'{EXPLORATION_SHARE:.0%} that go to a random candidate',
            ),
        )
        return (text for applies, text in checks if applies)


def _main_service(route: 'RoutePolicy') -> 'ServiceName':
    return max(route.shares, key=lambda share: share.weight).service


def _costs_by_address(
    candidates: Sequence[GuardView],
    domain: 'DomainName',
) -> dict[str, float]:
    costs = expected_costs(candidates, domain=domain)
    return {
        guard.address: cost
        for guard, cost in zip(candidates, costs, strict=True)
    }


def _reasons_against(
    guard: GuardView,
    guards: _Guards,
) -> tuple[RuledOut, ...]:
    """Return all reasons; a guard that is silent counts if another is not."""
    is_reachable = guard in guards.reachable
    is_allowed = guard in guards.allowed
    is_usable = is_allowed and guard.is_open
    checks = (
        (RuledOut.EVACUATED, not is_reachable),
        (RuledOut.REGION, is_reachable and not is_allowed),
        (RuledOut.CLOSED, not guard.is_open),
        (RuledOut.UNRESPONSIVE, is_usable and guard not in guards.candidates),
    )
    return tuple(reason for reason, applies in checks if applies)
