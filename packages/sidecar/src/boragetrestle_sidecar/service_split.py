"""Distribute the requests of a route among its services by weight."""

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import RouteName, ServiceName
    from boragetrestle_sidecar.route_policy import RoutePolicy


class ServiceSplit:
    """Choose the service that has received least relative to its weight.

    Each route keeps a credit for each of its services (smooth weighted round
    robin). Credits start at random values, so that nodes don't all choose the
    same service first.
    """

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.credits: dict[
            tuple[RouteName, tuple[float, ...]],
            list[float],
        ] = {}

    def choose(self, route: 'RoutePolicy') -> 'ServiceName':
        """Return the service of the next request."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = tuple(share.weight for share in shares)
        total = sum(weights) or 1.0
        credit = self.credits.get((route.name, weights))
        if credit is None:
            credit = [
                self.chance.random() * weight / total for weight in weights
            ]
            self.credits[route.name, weights] = credit
        for index, weight in enumerate(weights):
            credit[index] += weight / total
        chosen = _greatest(credit)
        credit[chosen] -= 1.0
        return shares[chosen].service

    def peek(self, route: 'RoutePolicy') -> 'ServiceName | None':
        """Return what ``choose`` would return, without any effect on it.

        ``None`` if that is left to chance: the first choice for a route with
        several services.
        """
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = tuple(share.weight for share in shares)
        credit = self.credits.get((route.name, weights))
        if credit is None:
            return None
        total = sum(weights) or 1.0
        added = [
            known + weight / total
            for known, weight in zip(credit, weights, strict=True)
        ]
        return shares[_greatest(added)].service


def _greatest(credit: list[float]) -> int:
    return max(range(len(credit)), key=credit.__getitem__)
