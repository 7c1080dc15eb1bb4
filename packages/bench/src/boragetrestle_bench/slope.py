"""Straight lines through figures measured at several sizes of the fleet."""

import math
from collections.abc import Callable, Sequence
from enum import Enum

import numpy as np


class Growth(Enum):
    """How a figure grows with the number of nodes."""

    LINEAR = 'linear'
    LOGARITHMIC = 'logarithmic'


_SCALES: dict[Growth, Callable[[float], float]] = {
    Growth.LINEAR: float,
    Growth.LOGARITHMIC: math.log2,
}


def extrapolate(
    points: Sequence[tuple[float, float]],
    at: float,
    *,
    growth: Growth = Growth.LOGARITHMIC,
) -> float:
    """Return the value at a size by the line of least squares.

    >>> round(extrapolate([(8, 3.0), (16, 4.0), (32, 5.0)], 64), 6)
    6.0
    >>> round(extrapolate([(8, 1.0), (16, 2.0)], 32, growth=Growth.LINEAR), 6)
    4.0
    """
    scale = _SCALES[growth]
    sizes = [scale(size) for size, _ in points]
    slope, offset = np.polyfit(sizes, [amount for _, amount in points], 1)
    return float(slope * scale(at) + offset)
