"""Spread the callers that come back after a refusal."""

import random

from boragetrestle_kernel.refusal import Refusal

_LEAST_SECONDS = 1.0
_SPREAD = (1.0, 2.5)


def spread_retry(refusal: Refusal, rng: random.Random) -> Refusal:
    """Return a refusal whose ``Retry-After`` is jittered, never earlier.

    >>> from boragetrestle_kernel.refusal import RefusalCode
    >>> soon = Refusal(RefusalCode.OVERLOADED, retry_after=4)
    >>> 4 <= spread_retry(soon, random.Random(1)).retry_after <= 10
    True
    """
    if refusal.retry_after is None:
        return refusal
    wait = max(_LEAST_SECONDS, refusal.retry_after)
    return refusal._replace(retry_after=wait * rng.uniform(*_SPREAD))
