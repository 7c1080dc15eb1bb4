"""What the configuration says of an organisation."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import Digest
    from boragetrestle_kernel.service_text import Organisation


@dataclass(frozen=True, slots=True)
class OrganisationPolicy:
    """An organisation with the digests of its keys.

    ``terms`` holds its name, its rate in requests per second and its burst;
    without terms of rate (``is_limited`` false) it has no limit.
    """

    terms: 'Organisation'
    key_digests: frozenset['Digest']
    priority: int
    is_limited: bool
