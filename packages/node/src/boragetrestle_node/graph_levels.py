"""Combine admission levels along the dependency graph of services."""

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
    """Return the level of a service, limited by its dependencies.

    The result is the lowest of the service's own level, the levels of its
    required dependencies and, for each group of alternatives, the highest in
    the group. Optional dependencies don't count. ``memo`` caches results for
    the same graph and levels.
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
        dependency_level = combine_levels(
            services, dependency.service, level_of, memo
        )
        if dependency.alternative is None:
            levels.append(dependency_level)
        else:
            groups[dependency.alternative].append(dependency_level)
    levels.extend(max(group) for group in groups.values())
    memo[name] = min(levels)
    return memo[name]
