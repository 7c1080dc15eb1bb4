"""Bounds on the numbers in messages between nodes.

One number that is not finite, negative or huge would spread: sums over the
fleet keep it, and no guard can be compared with one whose load has it.
"""

from typing import Annotated

import msgspec

_EXACT_FLOAT_BITS = 53  # a larger count is no exact float
_MAX_COUNT = 2**_EXACT_FLOAT_BITS
_MAX_AMOUNT = 1e15

Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
# Seconds, slots and rates. The lower bound refuses NaN as well.
Amount = Annotated[float, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]
