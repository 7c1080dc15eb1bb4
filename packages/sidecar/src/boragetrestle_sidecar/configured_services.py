"""The services that the operators' configurations name."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import WireError

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import ServiceName
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.target_report import TargetReport

MAX_SHOWN_CHARACTERS = 80  # names of another writer may be long


class ConfiguredServices:
    """Services of which a guard may use a target, and their cold rates.

    Before the first configuration any service may be meant, so all are known.
    Those of earlier configurations stay known, since their targets run on.
    ``cold_rates`` are the requests a second that a cold target takes; they are
    None before the first configuration.
    """

    def __init__(self, own: 'ServiceName') -> None:
        self.own = own
        self.known: frozenset[ServiceName] = frozenset()
        self.cold_rates: Mapping[ServiceName, float] | None = None

    def add(self, configuration: 'Configuration') -> None:
        """Take over the services of a newer configuration."""
        self.known |= {*configuration.services, self.own}
        self.cold_rates = configuration.cold_rates

    def knows(self, service: 'ServiceName') -> bool:
        """Return whether targets of a service may be used."""
        return not self.known or service in self.known

    def confirms(self, service: 'ServiceName') -> bool:
        """Return whether a service exists for certain.

        Before the first configuration only that of the own host does.
        """
        return service == self.own or service in self.known

    def check(
        self,
        report: 'TargetReport',
        newest: 'TargetReport | None',
    ) -> None:
        """Raise ``WireError`` for a report that no target can have sent.

        That is one of an unknown service, or one with another service than the
        ``newest`` report of the same incarnation.
        """
        shown = report.service[:MAX_SHOWN_CHARACTERS]
        if not self.knows(report.service):
            raise WireError(
                f'the report of target {report.target!r} names the service '
                f'{shown!r}, which is in no configuration',
                remedy='add the service to the configuration',
            )
        if newest is None or newest.incarnation != report.incarnation:
            return
        if newest.service != report.service:
            raise WireError(
                f'target {report.target!r} of the service {newest.service!r} '
                f'reports the service {shown!r} now',
                remedy='give each start of a target an id of its own',
            )
