"""The configuration of one organisation (customer)."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import Digest, RegionName
    from boragetrestle_kernel.service_text import Organisation


@dataclass(frozen=True, slots=True)
class OrganisationPolicy:
    """An organisation with its rate limit and the digests of its keys.

    ``terms`` holds its name, its rate in requests per second and its burst;
    if ``is_limited`` is false, its rate is not limited. Its requests may be
    served only in ``regions``; none means in all.
    """

    terms: 'Organisation'
    key_digests: frozenset['Digest']
    priority: int
    is_limited: bool
    regions: frozenset['RegionName'] = frozenset()
