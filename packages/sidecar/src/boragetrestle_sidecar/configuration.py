"""One version of the operators' configuration, indexed for look-ups."""

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from boragetrestle_kernel.digest import digest_key
from boragetrestle_sidecar.caller_limits import CallerLimits

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import Digest, ServiceName, Version
    from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
    from boragetrestle_sidecar.route_policy import RoutePolicy


class Configuration:
    """Routes, organisations and limits of one version.

    ``document`` is the text as the operators wrote it; nodes send it unchanged
    to other nodes that lack this version. ``cold_rates`` holds the requests a
    second that a cold target takes, for services where that is limited.
    ``services`` are all that it names, with or without a route.
    """

    def __init__(
        self,
        *,
        version: 'Version',
        document: bytes,
        routes: 'Iterable[RoutePolicy]',
        organisations: 'Iterable[OrganisationPolicy]' = (),
        limits: CallerLimits | None = None,
        cold_rates: 'Mapping[ServiceName, float] | None' = None,
        services: 'Iterable[ServiceName]' = (),
    ) -> None:
        self.version = version
        self.document = document
        self.routes = tuple(routes)
        self.organisations = {each.terms.name: each for each in organisations}
        self.limits = limits or CallerLimits()
        self.cold_rates = dict(cold_rates or {})
        self.services = frozenset((
            *services,
            *self.cold_rates,
            *(share.service for each in self.routes for share in each.shares),
        ))
        self.routes_by_host = _group_by_host(self.routes)
        self.organisations_by_key_digest: dict[Digest, OrganisationPolicy] = {
            digest: each
            for each in self.organisations.values()
            for digest in each.key_digests
        }

    def find_route(self, host: str, path: str) -> 'RoutePolicy | None':
        """Return the host's route with the longest prefix of the path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key: str) -> 'OrganisationPolicy | None':
        """Return the organisation to which an API key belongs."""
        return self.organisations_by_key_digest.get(digest_key(key))


def _group_by_host(
    routes: 'Iterable[RoutePolicy]',
) -> 'dict[str, list[RoutePolicy]]':
    by_host: dict[str, list[RoutePolicy]] = {}
    for route in sorted(routes, key=_prefix_length, reverse=True):
        by_host.setdefault(route.host.lower(), []).append(route)
    return by_host


def _prefix_length(route: 'RoutePolicy') -> int:
    return len(route.prefix)
