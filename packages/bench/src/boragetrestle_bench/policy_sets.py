"""Sets of policies that benchmarks compare."""

from boragetrestle_node.policies import Policies

CURRENT = 'current'
BASELINE = 'baseline'
EARLIER = 'earlier'

POLICY_SETS: dict[str, Policies] = {
    CURRENT: Policies(),
    BASELINE: Policies(
        rates='even-split',
        choice='random',
        retries='local',
        admission='none',
        slots='guarded',
        limit='fixed',
        queue='fifo',
    ),
    EARLIER: Policies(
        rates='even-split',
        choice='two-random',
        retries='none',
        admission='none',
        slots='unlimited',
        limit='fixed',
        queue='fifo',
    ),
}
