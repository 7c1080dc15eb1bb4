"""Where a request may be served.

Routes and organisations may name the regions to which their requests, with
their bodies, may go.
"""

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from boragetrestle_sidecar.outcome import Reason

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import DomainName, RegionName
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.placement import GuardView
    from boragetrestle_sidecar.route_policy import RoutePolicy


def allowed_regions(
    route: 'RoutePolicy',
    organisation: 'OrganisationPolicy | None',
) -> 'frozenset[RegionName] | None':
    """Return the regions that route and organisation both allow; None if all.

    The result is empty if they allow no region in common.
    """
    named = [route.regions]
    if organisation is not None:
        named.append(organisation.regions)
    named = [regions for regions in named if regions]
    return frozenset.intersection(*named) if named else None


def guards_in_regions(
    guards: 'Sequence[GuardView]',
    allowed: 'frozenset[RegionName] | None',
    regions: 'Mapping[DomainName, RegionName]',
) -> 'Sequence[GuardView]':
    """Return the guards whose domain lies in an allowed region.

    ``regions`` maps each domain to its region; a domain that is not in it lies
    in none.
    """
    if allowed is None:
        return guards
    return [
        guard
        for guard in guards
        if regions.get(guard.domain) in allowed  # type: ignore[call-overload]
    ]


def reason_without_guard(
    guards: 'Sequence[GuardView]',
    allowed: 'Sequence[GuardView]',
) -> Reason:
    """Return why no guard can be chosen.

    ``allowed`` are those of ``guards`` that lie in an allowed region.
    """
    return Reason.REGION if guards and not allowed else Reason.NO_TARGET
