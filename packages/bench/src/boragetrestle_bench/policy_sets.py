"""Sets of policies that benchmarks compare."""

from boragetrestle_node.policies import Policies

CURRENT = 'current'
BASELINE = 'baseline'
EARLIER = 'earlier'

POLICY_SETS: dict[str, Policies] = {
    CURRENT: Policies(),
    BASELINE: Policies(),
    EARLIER: Policies(),
}
