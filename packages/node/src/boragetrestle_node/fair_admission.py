"""Fair admission among organisations when only a share is admitted."""

from collections.abc import Callable, Mapping

import trio

from boragetrestle_kernel.ids import OrgId

WINDOW_SECONDS = 0.5

_DEMAND_SMOOTHING = 0.8
_MIN_TRACKED_CALLS = 0.01


class FairAdmission:
    """Admit a share of calls, refusing the heaviest organisations first.

    Demand is the smoothed count of calls per window. The admitted part of it
    is divided by weighted max-min fairness: an organisation within its fair
    share has all calls admitted, the others equal shares by weight. Each call
    earns its organisation a fraction of a credit, the admitted share; a call
    is admitted when that makes a whole credit, which it spends.
    """

    def __init__(self, weight_of: Callable[[OrgId], float]) -> None:
        self.weight_of = weight_of
        self.window_counts: dict[OrgId, int] = {}
        self.demand: dict[OrgId, float] = {}
        self.admitted_shares: dict[OrgId, float] = {}
        self.credits: dict[OrgId, float] = {}
        self.share = 1.0
        self.window_end = trio.current_time() + WINDOW_SECONDS

    def admits(self, organisation: OrgId, share: float) -> bool:
        """Count a call and return whether it is admitted."""
        self.window_counts[organisation] = (
            self.window_counts.get(organisation, 0) + 1
        )
        if trio.current_time() >= self.window_end:
            self._end_window()
            self._recompute_shares(share)
        elif share != self.share:
            self._recompute_shares(share)
        if share <= 0 or share >= 1:
            return share >= 1
        return self._spend_credit(organisation)

    def _spend_credit(self, organisation: OrgId) -> bool:
        admitted_share = self.admitted_shares.get(organisation, 1)
        credit = self.credits.get(organisation, 0) + admitted_share
        is_admitted = credit >= 1
        self.credits[organisation] = credit - is_admitted
        return is_admitted

    def _end_window(self) -> None:
        names = self.window_counts.keys() | self.demand.keys()
        smoothed = {
            name: _DEMAND_SMOOTHING * self.demand.get(name, 0)
            + (1 - _DEMAND_SMOOTHING) * self.window_counts.get(name, 0)
            for name in names
        }
        self.demand = {
            name: calls
            for name, calls in smoothed.items()
            if calls > _MIN_TRACKED_CALLS
        }
        self.credits = {
            name: credit
            for name, credit in self.credits.items()
            if name in self.demand
        }
        self.window_counts.clear()
        self.window_end = trio.current_time() + WINDOW_SECONDS

    def _recompute_shares(self, share: float) -> None:
        self.share = share
        weights = {name: self.weight_of(name) for name in self.demand}
        capacity = share * sum(self.demand.values())
        granted = max_min_shares(self.demand, weights, capacity)
        self.admitted_shares = {
            name: granted[name] / calls for name, calls in self.demand.items()
        }


def max_min_shares(
    demand: Mapping[OrgId, float],
    weights: Mapping[OrgId, float],
    capacity: float,
) -> dict[OrgId, float]:
    """Divide a capacity by weighted max-min fairness.

    >>> demand = {OrgId('a'): 1.0, OrgId('b'): 9.0}
    >>> max_min_shares(demand, {OrgId('a'): 1, OrgId('b'): 1}, 5.0)
    {'a': 1.0, 'b': 4.0}
    """
    granted: dict[OrgId, float] = {}
    capacity_left, weight_left = capacity, sum(weights.values())
    relative = {name: calls / weights[name] for name, calls in demand.items()}
    for name in sorted(relative, key=relative.__getitem__):
        fair_share = capacity_left * weights[name] / weight_left
        granted[name] = min(demand[name], fair_share)
        capacity_left -= granted[name]
        weight_left -= weights[name]
    return granted
