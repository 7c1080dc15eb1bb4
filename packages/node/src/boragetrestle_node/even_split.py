"""Split each organisation's rate evenly over the nodes."""

from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import OrgId
from boragetrestle_node.rate_policy import NodeCount, rate_policy
from boragetrestle_node.token_bucket import TokenBucket

_UNKNOWN_WAIT_SECONDS = 1.0


@rate_policy('even-split')
class EvenSplit:
    """Give every node the same part of rate and burst."""

    def __init__(self, state: FleetState, node_count: NodeCount) -> None:
        self.state = state
        self.node_count = node_count
        self.buckets: dict[OrgId, TokenBucket] = {}

    def take(self, organisation: OrgId) -> float | None:
        """Return ``None`` if admitted, else seconds until it may try again."""
        known = self.state.organisations.get(organisation)
        if known is None:
            return _UNKNOWN_WAIT_SECONDS
        nodes = max(1, self.node_count())
        bucket = self._bucket(organisation, known.rate / nodes)
        bucket.burst = max(1, known.burst / nodes)
        return None if bucket.take() else bucket.wait()

    def _bucket(self, organisation: OrgId, rate: float) -> TokenBucket:
        bucket = self.buckets.get(organisation)
        if bucket is None:
            burst = self.state.organisations[organisation].burst
            share = burst / max(1, self.node_count())
            bucket = TokenBucket(rate=rate, burst=max(1, share))
            self.buckets[organisation] = bucket
        bucket.rate = rate
        return bucket
