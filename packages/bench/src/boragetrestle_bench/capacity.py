"""Figures at the size to design for, worked out from measured slopes."""

import re
from collections.abc import Iterable
from typing import NamedTuple

from boragetrestle_bench.figure import Figure
from boragetrestle_bench.policy_sets import CURRENT
from boragetrestle_bench.result import Result
from boragetrestle_bench.size import UPSTREAMS
from boragetrestle_bench.slope import Growth, extrapolate

CAPACITY = 'capacity'

_NODES = re.compile(r'(?P<nodes>\d+) nodes')
_MIN_POINTS = 2


class Slope(NamedTuple):
    """A figure that one benchmark gives at several sizes.

    ``figure`` has ``N`` in place of the number of nodes.
    """

    name: str
    benchmark: str
    figure: str
    growth: Growth

    def points(self, results: Iterable[Result]) -> list[tuple[float, float]]:
        """Return sizes with the figure measured at each."""
        found: list[tuple[float, float]] = []
        for res in results:
            if res.benchmark != self.benchmark or res.policies != CURRENT:
                continue
            for figure in res.figures:
                match = _NODES.search(figure.name)
                plain = _NODES.sub('N nodes', figure.name)
                if match is not None and plain == self.figure:
                    found.append((float(match['nodes']), figure.amount))
        return found


_SLOPES = (
    Slope(
        'bytes a second a node',
        'control',
        'bytes a second a node, N nodes',
        Growth.LOGARITHMIC,
    ),
    Slope(
        'messages a second a node',
        'control',
        'messages a second a node, N nodes',
        Growth.LOGARITHMIC,
    ),
    Slope(
        'store reads a second in all',
        'control',
        'store reads a second in all, N nodes',
        Growth.LINEAR,
    ),
    Slope(
        'store writes a second in all',
        'control',
        'store writes a second in all, N nodes',
        Growth.LINEAR,
    ),
    Slope(
        'change in force, s',
        'spread',
        'change in force on the last of N nodes, s',
        Growth.LOGARITHMIC,
    ),
    Slope(
        'withdrawal in force, s',
        'spread',
        'withdrawal in force on the last of N nodes, s',
        Growth.LOGARITHMIC,
    ),
)


def work_out(results: Iterable[Result]) -> Result:
    """Return each slope's figure at the size to design for.

    None is less than the largest that was measured.
    """
    found = list(results)
    figures: list[Figure] = []
    for slope in _SLOPES:
        points = slope.points(found)
        if len(points) >= _MIN_POINTS:
            worked_out = extrapolate(points, UPSTREAMS, growth=slope.growth)
            measured = max(amount for _, amount in points)
            figures.append(Figure(slope.name, max(worked_out, measured)))
    return Result(
        benchmark=CAPACITY,
        policies=CURRENT,
        seed=0,
        figures=tuple(figures),
        is_virtual=False,
        seconds=0,
    )
