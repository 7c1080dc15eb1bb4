"""Combine admission levels along the operators' graph."""

from collections import defaultdict
from collections.abc import Callable, Mapping

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_kernel.service_text import Service

LevelOf = Callable[[ServiceName], float]


def combine_levels(
    services: Mapping[str, Service],
    name: str,
    level_of: LevelOf,
    memo: dict[str, float],
) -> float:
    """Return the level of a service with all that it depends on.

    Required dependencies count with the most restrictive level, a group of
    alternatives with its least restrictive, optional ones not at all. ``memo``
    keeps what was computed for the same graph and levels.
    """
    known = memo.get(name)
    if known is not None:
        return known
    levels = [level_of(ServiceName(name))]
    groups: defaultdict[str, list[float]] = defaultdict(list)
    service = services.get(name)
    for dependency in service.depends_on if service else ():
        if dependency.optional:
            continue
        below = combine_levels(services, dependency.service, level_of, memo)
        if dependency.alternative is None:
            levels.append(below)
        else:
            groups[dependency.alternative].append(below)
    levels.extend(max(group) for group in groups.values())
    memo[name] = min(levels)
    return memo[name]
