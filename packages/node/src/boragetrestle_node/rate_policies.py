"""The rate policies that come with a node."""

import boragetrestle_node.escrow  # noqa: F401
import boragetrestle_node.even_split  # noqa: F401
from boragetrestle_node.rate_policy import (
    RATE_POLICIES,
    RateParts,
    RatePolicy,
)


def build_rate_policy(name: str, parts: RateParts) -> RatePolicy:
    """Build the rate policy that is registered under a name."""
    return RATE_POLICIES[name](parts)
