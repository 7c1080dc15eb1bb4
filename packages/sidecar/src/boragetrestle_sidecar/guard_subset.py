"""Choose the guards of a service to which an entry keeps links.

With hundreds of nodes, links between all of them cost each node time and bytes
that grow with the fleet. An entry needs only as many guards as it takes to find
a free slot: a few in its own domain, where a run costs no traffic between
domains, and a few in others for when its domain is full or gone.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import xxhash

from boragetrestle_sidecar.member import Member

OWN_DOMAIN_GUARDS = 6
OTHER_DOMAIN_GUARDS = 4


class GuardRanking(NamedTuple):
    """The guards of one service in the order in which an entry prefers them."""

    own_domain: list[str]
    other_domains: list[str]


def rank_guards(
    address: str,
    domain: str,
    members: Iterable[Member],
) -> GuardRanking:
    """Order the guards of a service for the entry at ``address``.

    Entries get different orders, so that all guards are used alike. A node that
    joins or leaves does not change the order of the others.
    """
    ranked = sorted(
        members,
        key=lambda member: xxhash.xxh64_intdigest(
            f'{address} {member.address}'.encode()
        ),
    )
    return GuardRanking(
        [each.address for each in ranked if each.domain == domain],
        [each.address for each in ranked if each.domain != domain],
    )


def choose_subset(
    ranking: GuardRanking,
    is_usable: Callable[[str], bool],
) -> list[str]:
    """Return the guards to keep links to, from those of one service.

    Guards that are not usable, since they are unreachable or closed, are
    returned as well, and others besides, so that enough remain. Where one side
    has too few guards, those of the other take their places.

    >>> ranking = GuardRanking([f'a:{port}' for port in range(20)], ['b:1'])
    >>> len(choose_subset(ranking, lambda _address: True))
    10
    """
    own, missing = _take(ranking.own_domain, OWN_DOMAIN_GUARDS, is_usable)
    others, lacking = _take(
        ranking.other_domains, OTHER_DOMAIN_GUARDS + missing, is_usable
    )
    if lacking and not missing:
        wanted = OWN_DOMAIN_GUARDS + lacking
        own, _missing = _take(ranking.own_domain, wanted, is_usable)
    return own + others


def _take(
    guards: Sequence[str],
    wanted: int,
    is_usable: Callable[[str], bool],
) -> tuple[list[str], int]:
    """Return the first guards with ``wanted`` usable; how many are missing."""
    taken: list[str] = []
    for address in guards:
        if not wanted:
            break
        taken.append(address)
        wanted -= is_usable(address)
    return taken, wanted
